package frame

import (
	"bytes"
	"errors"
	"testing"
)

// The bytes of a frame are on disks: they never change.
func TestBytes(t *testing.T) {
	got := Append([]byte("x"), []byte("123456789"))
	want := append([]byte{'x', 9, 0, 0, 0, 0x83, 0x92, 0x06, 0xe3}, "123456789"...) // the check value of CRC-32C
	if !bytes.Equal(got, want) {
		t.Errorf("%x, want %x", got, want)
	}
}

func TestNext(t *testing.T) {
	data := Append(Append(nil, []byte("first")), nil)
	first, rest, err := Next(data)
	if err != nil || string(first) != "first" {
		t.Fatalf("%q, %v", first, err)
	}
	if second, rest, err := Next(rest); err != nil || len(second)+len(rest) > 0 {
		t.Errorf("an empty payload: %q, %d bytes left, %v", second, len(rest), err)
	}
	for cut := range HeadSize + len("first") {
		if _, _, err := Next(data[:cut]); !errors.Is(err, ErrTorn) {
			t.Errorf("cut after %d bytes: %v", cut, err)
		}
	}
	for i := range HeadSize + len("first") {
		bad := bytes.Clone(data)
		bad[i] ^= 1
		if _, _, err := Next(bad); err == nil {
			t.Errorf("byte %d was changed, and nobody sees it", i)
		}
	}
}

// Whatever is read: no panic, and what is found is what Append makes.
func FuzzNext(f *testing.F) {
	f.Add(Append(nil, []byte("payload")))
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, rest, err := Next(data)
		if err == nil && !bytes.Equal(append(Append(nil, payload), rest...), data) {
			t.Error("a frame that Append does not make")
		}
	})
}
