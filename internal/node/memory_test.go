package node

import "testing"

// Guards against a runtime that uses the memory which the files of the program need, so that the process passes its limit.
func TestRuntimeMemoryLeavesRoomForFiles(t *testing.T) {
	const mib = 1 << 20
	for _, test := range []struct {
		memoryMB     int
		mapped, want int64 // bytes
	}{
		{0, 20 * mib, 0},
		{1000, 20 * mib, 600 * mib},
		{40, 20 * mib, 16 * mib},
		{32, 40 * mib, 8 * mib},
	} {
		if got := runtimeMemory(test.memoryMB, test.mapped); got != test.want {
			t.Errorf("%d MiB with %d bytes of files: got %d, want %d", test.memoryMB, test.mapped, got, test.want)
		}
	}
}

func TestMappedBytesCountsFilesOnly(t *testing.T) {
	for line, want := range map[string]int64{
		"00400000-00500000 r-xp 00000000 fe:00 9929571                            /usr/bin/node": 1 << 20,
		"00500000-00600000 rw-p 00000000 00:00 0":                                                0,
		"ffff0000-ffff1000 r-xp 00000000 00:00 0                                  [vdso]":        0,
		"malformed": 0,
		"":          0,
	} {
		if got := mappedBytes(line); got != want {
			t.Errorf("%q: got %d, want %d", line, got, want)
		}
	}
	if mappedFileBytes() < 1<<20 {
		t.Errorf("got %d bytes of files in this process, want that of its program", mappedFileBytes())
	}
}
