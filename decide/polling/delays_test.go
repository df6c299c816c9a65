package polling

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the recorded delays")

// The delays and timeouts for fleets of many sizes must equal the recorded ones, to the nanosecond.
func TestDelaysMatchRecorded(t *testing.T) {
	var got bytes.Buffer
	for _, nodes := range []int{-1, 0, 1, 2, 5, 9, 10, 11, 35, 36, 79, 80, 81, 300, 1100} {
		for _, grace := range []time.Duration{0, 400 * time.Millisecond, time.Second, 4 * time.Second} {
			s := Schedule{Nodes: nodes, DrainGrace: grace, Rand: rand.New(rand.NewPCG(1, 2))}
			fmt.Fprintf(&got, "nodes %d grace %v: first %d", nodes, grace, s.InitialDelay())
			for _, failures := range []int{0, 1, 2, 3, 10, 11, 100} {
				fmt.Fprintf(&got, "; %d: %v %v %v %d %d", failures, s.ChangeTimeout(failures), s.ResponseTimeout(failures), s.ListTimeout(failures),
					s.NextDelay(failures, false), s.NextDelay(failures, true))
			}
			got.WriteByte('\n')
		}
	}
	file := filepath.Join("testdata", "delays.txt")
	if *update {
		if err := os.WriteFile(file, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got delays that differ from %s:\n%s", file, got.Bytes())
	}
}
