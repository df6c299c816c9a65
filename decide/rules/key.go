package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	// maxKeyBytes is the maximum length of a key, in bytes.
	maxKeyBytes = 256
	// computedKeyPrefix is the prefix of every computed key. Clients must not use it for messages whose keys rules
	// compute.
	computedKeyPrefix = "="
	// maxUnhashedKeyBytes is the maximum length, in bytes, of a computed key that is not hashed.
	maxUnhashedKeyBytes = 192
)

// joinKey returns the computed key of a tag and its parts. Unless SHA-256 collides, two keys are equal only if their
// tags and all their parts are equal: writeEscaped ensures that no part contains the separator ':' or the '#' of a
// hashed key.
func joinKey(tag string, parts []string) string {
	var key strings.Builder
	key.WriteString(computedKeyPrefix)
	writeEscaped(&key, tag)
	tagEnd := key.Len()
	for _, part := range parts {
		key.WriteByte(':')
		writeEscaped(&key, part)
	}
	if key.Len() <= maxUnhashedKeyBytes {
		return key.String()
	}
	hash := sha256.Sum256([]byte(key.String()))
	return key.String()[:tagEnd] + "#" + hex.EncodeToString(hash[:])
}

// writeEscaped writes s. Every byte other than a letter, a digit, '.', '_' and '-' is written as '%' and two
// hexadecimal digits.
func writeEscaped(b *strings.Builder, s string) {
	const digits = "0123456789ABCDEF"
	for i := range len(s) {
		c := s[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '.', c == '_', c == '-':
			b.WriteByte(c)
		default:
			b.WriteByte('%')
			b.WriteByte(digits[c>>4])
			b.WriteByte(digits[c&15])
		}
	}
}

// formatKeyPart converts a value to a part of a key. It returns false if a part can't have the value's type.
func formatKeyPart(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case int64:
		return strconv.FormatInt(v, 10), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// validKey reports whether a key can be sent in a header and in a line of a batch.
func validKey(key string) bool {
	unprintable := func(c rune) bool { return c <= ' ' || c > '~' }
	return key != "" && len(key) <= maxKeyBytes && strings.IndexFunc(key, unprintable) < 0
}
