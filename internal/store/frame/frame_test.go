package frame

import (
	"bytes"
	"errors"
	"testing"
)

// TestAppendWritesStoredFormat guards the on-disk format, which must never change.
func TestAppendWritesStoredFormat(t *testing.T) {
	got := Append([]byte("x"), []byte("123456789"))
	want := append([]byte{'x', 9, 0, 0, 0, 0x83, 0x92, 0x06, 0xe3}, "123456789"...) // the check value of CRC-32C
	if !bytes.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
}

// TestNextReadsInOrderAndDetectsDamage checks that Next reads frames in order and detects truncated and corrupted ones.
func TestNextReadsInOrderAndDetectsDamage(t *testing.T) {
	data := Append(Append(nil, []byte("first")), nil)
	first, rest, err := Next(data)
	if err != nil || string(first) != "first" {
		t.Fatalf("got %q, %v, want %q", first, err, "first")
	}
	if second, rest, err := Next(rest); err != nil || len(second)+len(rest) > 0 {
		t.Errorf("empty payload: got %q, %d bytes remaining, %v", second, len(rest), err)
	}
	for cut := range HeaderSize + len("first") {
		if _, _, err := Next(data[:cut]); !errors.Is(err, ErrTorn) {
			t.Errorf("truncated to %d bytes: got %v, want ErrTorn", cut, err)
		}
	}
	for i := range HeaderSize + len("first") {
		corrupted := bytes.Clone(data)
		corrupted[i] ^= 1
		if _, _, err := Next(corrupted); err == nil {
			t.Errorf("byte %d corrupted: got no error, want one", i)
		}
	}
}

// FuzzNext checks that Next does not panic, and that Append encodes each payload found to the same bytes.
func FuzzNext(f *testing.F) {
	f.Add(Append(nil, []byte("payload")))
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, rest, err := Next(data)
		if err == nil && !bytes.Equal(append(Append(nil, payload), rest...), data) {
			t.Error("Append encodes the decoded payload to different bytes")
		}
	})
}
