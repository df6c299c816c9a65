package testkit

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"
)

// updateGolden makes [Golden] write the files that it would compare.
var updateGolden = flag.Bool("update-golden", false, "write the golden files under testdata instead of comparing with them")

// goldenPath returns the path of a golden file of the package under test.
func goldenPath(name string) string { return filepath.Join("testdata", filepath.FromSlash(name)) }

// Golden fails the test if bytes differ from the file testdata/NAME of the package under test. Golden files contain what
// an earlier version wrote to disk or to the network: after a difference either the format has changed, or the test
// writes something else than before. With -update-golden it writes the file instead.
func Golden(tb testing.TB, name string, got []byte) {
	tb.Helper()
	path := goldenPath(name)
	if *updateGolden {
		Must(tb, os.MkdirAll(filepath.Dir(path), 0o755))
		Must(tb, os.WriteFile(path, got, 0o644))
		return
	}
	if want := ReadGolden(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s: %s", path, difference(got, want))
	}
}

// ReadGolden returns the bytes of the file testdata/NAME of the package under test.
func ReadGolden(tb testing.TB, name string) []byte {
	tb.Helper()
	data, err := os.ReadFile(goldenPath(name))
	Must(tb, err)
	return data
}

// CopyGolden copies the file testdata/NAME of the package under test to a path, for a test that lets code work on it.
func CopyGolden(tb testing.TB, name, to string) {
	tb.Helper()
	Must(tb, os.WriteFile(to, ReadGolden(tb, name), 0o600))
}

// UpdatesGolden reports whether golden files are written instead of compared. It is for a test that can't compare its
// file byte for byte, and writes it by itself.
func UpdatesGolden() bool { return *updateGolden }

// difference describes the first place in which bytes differ: a line of text, or an offset.
func difference(got, want []byte) string {
	if !utf8.Valid(got) || !utf8.Valid(want) {
		at := commonPrefix(got, want)
		return fmt.Sprintf("got %d bytes, want %d, they differ from byte %d on:\n%swant\n%s", len(got), len(want), at, hex.Dump(got), hex.Dump(want))
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	n := commonPrefix(gotLines, wantLines)
	return fmt.Sprintf("line %d: got %s, want %s", n+1, quotedLine(gotLines, n), quotedLine(wantLines, n))
}

// commonPrefix returns how many elements at the start are equal.
func commonPrefix[T comparable](a, b []T) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// quotedLine returns line n, counted from 0.
func quotedLine(lines []string, n int) string {
	if n == len(lines) {
		return "no more lines"
	}
	return strconv.Quote(lines[n])
}
