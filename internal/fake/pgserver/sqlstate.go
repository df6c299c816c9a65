package pgserver

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/ncruces/go-sqlite3"
)

// Values of SQLSTATE (appendix A of the manual).
const (
	stateProtocolViolation    = "08P01"
	stateNotSupported         = "0A000"
	stateInvalidParameter     = "22023"
	stateInvalidBinary        = "22P03"
	stateNotNullViolation     = "23502"
	stateUniqueViolation      = "23505"
	stateCheckViolation       = "23514"
	stateReadOnlyTransaction  = "25006"
	stateTransactionFailed    = "25P02"
	stateUnknownStatement     = "26000"
	stateInvalidAuthorization = "28000"
	stateInvalidPassword      = "28P01"
	stateUnknownPortal        = "34000"
	stateSyntaxError          = "42601"
	stateUndefinedTable       = "42P01"
	stateDiskFull             = "53100"
	stateTooManyConnections   = "53300"
	stateLockNotAvailable     = "55P03"
	stateQueryCanceled        = "57014"
	stateIOError              = "58030"
	stateInternalError        = "XX000"
)

// errTransactionFailed rejects a statement in a transaction that can only be rolled back.
var errTransactionFailed = newStateError(stateTransactionFailed, "current transaction is aborted, commands ignored until end of transaction block")

// stateError is an error with SQLSTATE.
type stateError struct{ pgproto3.ErrorResponse }

func newStateError(state, text string) error {
	return stateError{pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: state, Message: text}}
}

func (e stateError) Error() string { return e.Code + ": " + e.Message }

// errorResponse returns an error as a message to the client.
func errorResponse(err error) *pgproto3.ErrorResponse {
	var e stateError
	if !errors.As(err, &e) {
		e = stateError{pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: stateInternalError, Message: err.Error()}}
	}
	return &e.ErrorResponse
}

// withState returns an error of the database with SQLSTATE.
func withState(err error) error {
	if err == nil {
		return nil
	}
	code, ok := sqliteCodeOf(err)
	switch {
	case !ok:
		return newStateError(stateInternalError, err.Error())
	case strings.Contains(err.Error(), "no such table"):
		return newStateError(stateUndefinedTable, err.Error())
	}
	return newStateError(code.state(), err.Error())
}

// sqliteCode is a result code of SQLite.
type sqliteCode struct {
	basic    sqlite3.ErrorCode
	extended sqlite3.ExtendedErrorCode
}

// sqliteCodeOf returns the result code of an error, which SQLite's driver gives in one of three types.
func sqliteCodeOf(err error) (code sqliteCode, ok bool) {
	var full *sqlite3.Error
	switch {
	case errors.As(err, &full):
		return sqliteCode{full.Code(), full.ExtendedCode()}, true
	case errors.As(err, &code.extended):
		code.basic = code.extended.Code()
		return code, true
	}
	return code, errors.As(err, &code.basic)
}

// state returns the SQLSTATE of a result code.
func (c sqliteCode) state() string {
	switch c.extended {
	case sqlite3.CONSTRAINT_UNIQUE, sqlite3.CONSTRAINT_PRIMARYKEY, sqlite3.CONSTRAINT_ROWID:
		return stateUniqueViolation
	case sqlite3.CONSTRAINT_NOTNULL:
		return stateNotNullViolation
	case sqlite3.CONSTRAINT_CHECK:
		return stateCheckViolation
	}
	switch c.basic {
	case sqlite3.BUSY, sqlite3.LOCKED:
		return stateLockNotAvailable
	case sqlite3.INTERRUPT:
		return stateQueryCanceled
	case sqlite3.READONLY:
		return stateReadOnlyTransaction
	case sqlite3.FULL:
		return stateDiskFull
	case sqlite3.IOERR, sqlite3.CORRUPT, sqlite3.NOTADB:
		return stateIOError
	}
	return stateSyntaxError
}
