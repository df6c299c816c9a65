package pgserver

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/ncruces/go-sqlite3"
)

// Formats of parameters and columns (protocol, 'Bind').
const (
	formatText   = 0
	formatBinary = 1
)

// errInvalidParameter rejects a parameter that does not have its type's format.
var errInvalidParameter = newStateError(stateInvalidBinary, "a parameter that can't be read")

// formatAt returns the format of the i-th parameter or column: without codes text, and one code for all (protocol,
// 'Bind').
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return formatText
}

// decodeParameter reads a parameter of a type in a format. A nil parameter is NULL.
func decodeParameter(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}
	switch oid {
	case oidInt8, oidInt4:
		return decodeInteger(raw, format)
	case oidBool:
		if format == formatText {
			return string(raw) == "t" || string(raw) == "true", nil
		}
		return len(raw) == 1 && raw[0] == 1, nil
	case oidBytea:
		return decodeBytes(raw, format)
	}
	return string(raw), nil
}

func decodeInteger(raw []byte, format int16) (any, error) {
	if format == formatText {
		value, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil {
			return nil, errInvalidParameter
		}
		return value, nil
	}
	switch len(raw) {
	case 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	}
	return nil, errInvalidParameter
}

func decodeBytes(raw []byte, format int16) (any, error) {
	if format != formatText {
		return append([]byte{}, raw...), nil
	}
	value, err := hex.DecodeString(strings.TrimPrefix(string(raw), `\x`))
	if err != nil {
		return nil, errInvalidParameter
	}
	return value, nil
}

// encodeColumn returns a column of the current row in a type and a format, nil for NULL.
func encodeColumn(row *sqlite3.Stmt, column int, oid uint32, format int16) []byte {
	if row.ColumnType(column) == sqlite3.NULL {
		return nil
	}
	isBinary := format == formatBinary
	switch {
	case oid == oidInt8 && isBinary:
		return binary.BigEndian.AppendUint64(nil, uint64(row.ColumnInt64(column)))
	case oid == oidInt4 && isBinary:
		return binary.BigEndian.AppendUint32(nil, uint32(row.ColumnInt64(column)))
	case oid == oidBool && isBinary:
		return []byte{byte(row.ColumnInt(column))}
	case oid == oidBool:
		return []byte{"ft"[row.ColumnInt(column)&1]}
	case oid == oidBytea && isBinary:
		return row.ColumnBlob(column, []byte{})
	case oid == oidBytea:
		return []byte(`\x` + hex.EncodeToString(row.ColumnBlob(column, []byte{})))
	}
	return []byte(row.ColumnText(column))
}
