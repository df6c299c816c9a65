package pgserver

import (
	"regexp"
	"strconv"
	"strings"
)

// The supported part of the dialect: one statement as SQLite has it, with parameters $1 to $n that are cast to one of the
// types below wherever their type matters ($1::bigint). Casts of anything else are dropped; so are FOR UPDATE and SKIP
// LOCKED, because a transaction has the only write lock from its BEGIN. clock_timestamp() is supported only as in
// nowText. Transactions are serialized: deadlocks and serialization failures are injected.

// OIDs of types (pg_type.dat).
const (
	oidBool  = 16
	oidBytea = 17
	oidInt8  = 20
	oidInt4  = 23
	oidText  = 25
)

// typeOIDs are the OIDs of types by name.
var typeOIDs = map[string]uint32{
	"bool": oidBool, "boolean": oidBool, "bytea": oidBytea, "bigint": oidInt8, "int8": oidInt8,
	"integer": oidInt4, "int": oidInt4, "int4": oidInt4, "text": oidText,
}

const (
	// nowText is the server's clock in microseconds.
	nowText = "(extract(epoch FROM clock_timestamp()) * 1000000)::bigint"
	// maxParameters is the highest number of a parameter.
	maxParameters = 1000
)

var (
	parameterPattern = regexp.MustCompile(`\$(\d+)(::([a-z0-9]+))?`)
	castPattern      = regexp.MustCompile(`::[a-z0-9]+`)
	forUpdatePattern = regexp.MustCompile(`(?i)\s+FOR\s+UPDATE(\s+SKIP\s+LOCKED)?`)
	settingPattern   = regexp.MustCompile(`(?i)^SET\s+(?:SESSION\s+|LOCAL\s+)?(\w+)\s*(?:=|TO)\s*'?([^';]+)'?`)
)

// firstWord returns the first word of a statement in capitals.
func firstWord(text string) string {
	word, _, _ := strings.Cut(strings.TrimLeft(text, " \t\r\n("), " ")
	return strings.ToUpper(strings.TrimRight(word, ";\r\n\t"))
}

// splitStatements splits the statements of a simple query. It respects quotes and comments to the end of a line.
func splitStatements(text string) []string {
	var statements []string
	start, quote := 0, byte(0) // quote is what ends a quotation or a comment, 0 outside
	add := func(s string) {
		if s = strings.TrimSpace(s); s != "" {
			statements = append(statements, s)
		}
	}
	for i := range len(text) {
		switch c := text[i]; {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '-' && i+1 < len(text) && text[i+1] == '-':
			quote = '\n'
		case c == '\'' || c == '"':
			quote = c
		case c == ';':
			add(text[start:i])
			start = i + 1
		}
	}
	add(text[start:])
	return statements
}

// translate returns a statement in SQLite's dialect.
func translate(text string) string {
	text = strings.ReplaceAll(text, nowText, "now_us()")
	text = parameterPattern.ReplaceAllString(text, "?$1")
	text = castPattern.ReplaceAllString(text, "")
	return forUpdatePattern.ReplaceAllString(text, "")
}

// parameterOIDs returns the types of a statement's parameters: those that the client gave, then those of casts, then
// text.
func parameterOIDs(text string, given []uint32) []uint32 {
	var oids []uint32
	for _, match := range parameterPattern.FindAllStringSubmatch(text, -1) {
		number, err := strconv.Atoi(match[1])
		if err != nil || number < 1 || number > maxParameters {
			continue
		}
		for len(oids) < number {
			oids = append(oids, oidText)
		}
		if oid := typeOIDs[match[3]]; oid != 0 {
			oids[number-1] = oid
		}
	}
	for i, oid := range given {
		if i < len(oids) && oid != 0 {
			oids[i] = oid
		}
	}
	return oids
}
