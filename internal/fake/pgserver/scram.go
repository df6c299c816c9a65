package pgserver

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
)

const (
	scramIterations = 4096
	saltSize        = 16 // bytes
	nonceSize       = 18 // bytes of the server's part
)

// scram is the server's side of one SCRAM-SHA-256 exchange without channel binding (RFC 5802 and 7677).
type scram struct {
	salt                 []byte
	storedKey, serverKey []byte
	gs2Header            string // of the client's first message
	clientFirstBare      string // the client's first message without the header
	serverFirst          string
	nonce                string // of both sides
}

// mac returns the HMAC of a text.
func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum(nil)
}

// newScram returns an exchange for a password, with a salt of its own.
func newScram(password string) (*scram, error) {
	s := &scram{salt: make([]byte, saltSize)}
	if _, err := rand.Read(s.salt); err != nil {
		return nil, err
	}
	salted, err := pbkdf2.Key(sha256.New, password, s.salt, scramIterations, sha256.Size)
	if err != nil {
		return nil, err
	}
	stored := sha256.Sum256(mac(salted, "Client Key"))
	s.storedKey, s.serverKey = stored[:], mac(salted, "Server Key")
	return s, nil
}

// attributes parses 'a=x,b=y'.
func attributes(text string) map[string]string {
	parsed := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if k, v, ok := strings.Cut(part, "="); ok {
			parsed[k] = v
		}
	}
	return parsed
}

// first returns the response to the client's first message (RFC 5802, section 7).
func (s *scram) first(data []byte) ([]byte, error) {
	parts := strings.SplitN(string(data), ",", 3)
	if len(parts) != 3 || parts[0] != "n" && parts[0] != "y" {
		return nil, errors.New("channel binding is not supported")
	}
	s.gs2Header, s.clientFirstBare = parts[0]+","+parts[1]+",", parts[2]
	clientNonce := attributes(s.clientFirstBare)["r"]
	if clientNonce == "" {
		return nil, errors.New("the client sent no nonce")
	}
	serverNonce := make([]byte, nonceSize)
	if _, err := rand.Read(serverNonce); err != nil {
		return nil, err
	}
	s.nonce = clientNonce + base64.StdEncoding.EncodeToString(serverNonce)
	s.serverFirst = fmt.Sprintf("r=%s,s=%s,i=%d", s.nonce, base64.StdEncoding.EncodeToString(s.salt), scramIterations)
	return []byte(s.serverFirst), nil
}

// final checks the client's proof and returns the server's.
func (s *scram) final(data []byte) ([]byte, error) {
	text := string(data)
	at := strings.LastIndex(text, ",p=")
	if at < 0 {
		return nil, errors.New("the client sent no proof")
	}
	withoutProof := text[:at]
	got := attributes(withoutProof)
	if got["r"] != s.nonce || got["c"] != base64.StdEncoding.EncodeToString([]byte(s.gs2Header)) {
		return nil, errors.New("the client's nonce or binding is wrong")
	}
	proof, err := base64.StdEncoding.DecodeString(text[at+len(",p="):])
	if err != nil || len(proof) != sha256.Size {
		return nil, errors.New("the client's proof can't be read")
	}
	authMessage := s.clientFirstBare + "," + s.serverFirst + "," + withoutProof
	signature := mac(s.storedKey, authMessage)
	clientKey := make([]byte, len(proof))
	subtle.XORBytes(clientKey, proof, signature)
	stored := sha256.Sum256(clientKey)
	if !hmac.Equal(stored[:], s.storedKey) {
		return nil, errors.New("password authentication failed")
	}
	return []byte("v=" + base64.StdEncoding.EncodeToString(mac(s.serverKey, authMessage))), nil
}
