package pgserver

import (
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// objectStatement is the type of a prepared statement in Describe and Close; the other type is a portal.
const objectStatement = 'S'

// runSimple runs the statements of one simple query.
func (x *session) runSimple(text string) error {
	texts := splitStatements(text)
	if len(texts) == 0 {
		x.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for _, text := range texts {
		st, err := x.prepare(text, nil)
		if err != nil {
			return err
		}
		if len(st.columns) > 0 {
			x.send(&pgproto3.RowDescription{Fields: st.columns})
		}
		if err := x.execute(&portal{statement: st}); err != nil {
			return err
		}
	}
	return nil
}

// handleExtended handles one message of the extended query protocol.
func (x *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return x.parse(m)
	case *pgproto3.Describe:
		return x.describe(m)
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Execute:
		p, err := x.portal(m.Portal)
		if err != nil {
			return err
		}
		return x.execute(p)
	case *pgproto3.Close:
		x.closeObject(m)
		return nil
	default:
		return newStateError(stateNotSupported, fmt.Sprintf("%T is not known here", message))
	}
}

// parse prepares a statement under a name.
func (x *session) parse(m *pgproto3.Parse) error {
	st, err := x.prepare(m.Query, m.ParameterOIDs)
	if err != nil {
		return err
	}
	x.statements[m.Name] = st
	x.send(&pgproto3.ParseComplete{})
	return nil
}

// describe sends the columns of a statement or of a portal, and the parameters of a statement.
func (x *session) describe(m *pgproto3.Describe) error {
	columns, err := x.describedColumns(m)
	if err != nil {
		return err
	}
	if len(columns) == 0 {
		x.send(&pgproto3.NoData{})
	} else {
		x.send(&pgproto3.RowDescription{Fields: columns})
	}
	return nil
}

func (x *session) describedColumns(m *pgproto3.Describe) ([]pgproto3.FieldDescription, error) {
	if m.ObjectType == objectStatement {
		st, err := x.statement(m.Name)
		if err != nil {
			return nil, err
		}
		x.send(&pgproto3.ParameterDescription{ParameterOIDs: st.parameterOIDs})
		return st.columns, nil
	}
	p, err := x.portal(m.Name)
	if err != nil {
		return nil, err
	}
	columns := slices.Clone(p.columns)
	for i := range columns {
		columns[i].Format = formatAt(p.resultFormats, i)
	}
	return columns, nil
}

// bind makes a portal of a statement and its parameters.
func (x *session) bind(m *pgproto3.Bind) error {
	st, err := x.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(st.parameterOIDs) {
		return newStateError(stateProtocolViolation, fmt.Sprintf("%d parameters for a statement of %d", len(m.Parameters), len(st.parameterOIDs)))
	}
	p := &portal{statement: st, resultFormats: slices.Clone(m.ResultFormatCodes)}
	for i, raw := range m.Parameters {
		value, err := decodeParameter(raw, st.parameterOIDs[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.values = append(p.values, value)
	}
	x.portals[m.DestinationPortal] = p
	x.send(&pgproto3.BindComplete{})
	return nil
}

// closeObject removes a statement or a portal.
func (x *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == objectStatement {
		delete(x.statements, m.Name)
	} else {
		delete(x.portals, m.Name)
	}
	x.send(&pgproto3.CloseComplete{})
}

func (x *session) statement(name string) (*statement, error) {
	if st := x.statements[name]; st != nil {
		return st, nil
	}
	return nil, newStateError(stateUnknownStatement, "there is no such statement")
}

func (x *session) portal(name string) (*portal, error) {
	if p := x.portals[name]; p != nil {
		return p, nil
	}
	return nil, newStateError(stateUnknownPortal, "there is no such portal")
}
