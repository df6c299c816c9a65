package pgserver

import (
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// authMechanism is the only SASL mechanism that is supported.
const authMechanism = "SCRAM-SHA-256"

// secretKeySize is the size of the key with which a client cancels a statement, in bytes.
const secretKeySize = 4

// serverParameters are what the server reports about itself.
var serverParameters = map[string]string{
	"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8",
	"DateStyle": "ISO, MDY", "integer_datetimes": "on", "standard_conforming_strings": "on", "TimeZone": "UTC",
}

// startup handles messages until the client is authenticated.
func (x *session) startup(rejecting bool) error {
	for {
		message, err := x.backend.ReceiveStartupMessage()
		if err != nil {
			return errConnectionClosed
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := x.conn.Write([]byte{'N'}); err != nil {
				return errConnectionClosed
			}
		case *pgproto3.CancelRequest:
			x.server.cancelStatement(m.ProcessID, m.SecretKey)
			return errConnectionClosed
		case *pgproto3.StartupMessage:
			return x.start(m, rejecting)
		default:
			return newStateError(stateProtocolViolation, "an unknown startup message")
		}
	}
}

// start handles the startup message.
func (x *session) start(m *pgproto3.StartupMessage, rejecting bool) error {
	if !x.server.admit(x, m.Parameters["application_name"]) {
		return errConnectionClosed
	}
	if err := x.pass(AtStartup); err != nil {
		return err
	}
	if rejecting {
		return newStateError(stateTooManyConnections, "sorry, too many clients already")
	}
	return x.authenticate(m.Parameters["user"])
}

// authenticate is SASL with SCRAM-SHA-256 (protocol, 'SASL Authentication').
func (x *session) authenticate(user string) error {
	exchange, err := newScram(x.server.config.Password)
	if err != nil {
		return err
	}
	clientFirst, err := x.receiveClientFirst()
	if err != nil {
		return err
	}
	serverFirst, err := exchange.first(clientFirst)
	if err != nil {
		return newStateError(stateInvalidAuthorization, err.Error())
	}
	clientFinal, err := x.receiveClientFinal(serverFirst)
	if err != nil {
		return err
	}
	serverFinal, err := exchange.final(clientFinal)
	if err != nil || user != x.server.config.User {
		return newStateError(stateInvalidPassword, fmt.Sprintf("password authentication failed for user %q", user))
	}
	x.send(&pgproto3.AuthenticationSASLFinal{Data: serverFinal}, &pgproto3.AuthenticationOk{})
	return nil
}

// receiveClientFirst asks for authentication, and returns the client's first message.
func (x *session) receiveClientFirst() ([]byte, error) {
	err := errors.Join(x.flush(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{authMechanism}}), x.backend.SetAuthType(pgproto3.AuthTypeSASL))
	if err != nil {
		return nil, errConnectionClosed
	}
	message, err := x.backend.Receive()
	if err != nil {
		return nil, errConnectionClosed
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != authMechanism {
		return nil, newStateError(stateInvalidAuthorization, "only "+authMechanism+" is supported")
	}
	return initial.Data, nil
}

// receiveClientFinal sends the server's first message, and returns the client's final one.
func (x *session) receiveClientFinal(serverFirst []byte) ([]byte, error) {
	err := errors.Join(x.flush(&pgproto3.AuthenticationSASLContinue{Data: serverFirst}), x.backend.SetAuthType(pgproto3.AuthTypeSASLContinue))
	if err != nil {
		return nil, errConnectionClosed
	}
	message, err := x.backend.Receive()
	if err != nil {
		return nil, errConnectionClosed
	}
	final, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return nil, newStateError(stateInvalidAuthorization, "no response to the challenge")
	}
	return final.Data, nil
}

// sendReady sends the server's parameters and the key for cancel, and that it is ready for queries.
func (x *session) sendReady() error {
	x.secretKey = make([]byte, secretKeySize)
	if _, err := rand.Read(x.secretKey); err != nil {
		return err
	}
	for name, value := range serverParameters {
		x.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	err := x.flush(&pgproto3.BackendKeyData{ProcessID: x.processID, SecretKey: x.secretKey}, &pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err != nil {
		return errConnectionClosed
	}
	return nil
}
