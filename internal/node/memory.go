package node

import (
	"bufio"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	// runtimeShare is the share of the configured memory that the Go runtime may use at most.
	runtimeShare = 0.6
	// freeShare is the share that it may use of what the files of the program leave. The rest is for threads and for
	// garbage that grows faster than it is collected.
	freeShare = 0.8
	// minRuntimeShare is the share that it may use in any case: less would keep the collector running.
	minRuntimeShare = 0.25
	// clientShare is the share of the runtime's memory for requests that are being received.
	clientShare = 0.25
	// messageShare is the share of the runtime's memory for messages in flight.
	messageShare = 0.5
)

// runtimeMemory returns how many bytes the Go runtime may use of a number of MiB, 0 if these are not limited. The files of
// the program count as memory of the process, and are not the runtime's.
func runtimeMemory(memoryMB int, mappedBytes int64) int64 {
	if memoryMB <= 0 {
		return 0
	}
	all := float64(memoryMB) * (1 << 20)
	free := max(freeShare*(all-float64(mappedBytes)), minRuntimeShare*all)
	return int64(min(runtimeShare*all, free))
}

// limitMemory limits the memory of the Go runtime to its part of a number of MiB; 0 for no limit.
func limitMemory(memoryMB int) {
	if limit := runtimeMemory(memoryMB, mappedFileBytes()); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// clientMemory returns how many bytes requests may have that are being received, of a number of MiB; 0 for a default.
func clientMemory(memoryMB int) int64 {
	return int64(clientShare * float64(runtimeMemory(memoryMB, mappedFileBytes())))
}

// messageMemory returns how many bytes the messages in flight may have, of a number of MiB; 0 for no limit.
func messageMemory(memoryMB int) int64 {
	return int64(messageShare * float64(runtimeMemory(memoryMB, mappedFileBytes())))
}

// mappedFileBytes returns the size of the files that are mapped into the process, 0 if that is not known.
func mappedFileBytes() int64 {
	maps, err := os.Open("/proc/self/maps")
	if err != nil {
		return 0
	}
	defer func() { _ = maps.Close() }()
	sum := int64(0)
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		sum += mappedBytes(lines.Text())
	}
	return sum
}

// mappedBytes returns the size of a mapping of a file, by its line of /proc/PID/maps (proc(5)), and 0 for any other mapping.
func mappedBytes(line string) int64 {
	const fieldsWithPath = 6
	fields := strings.Fields(line)
	if len(fields) < fieldsWithPath || !strings.HasPrefix(fields[fieldsWithPath-1], "/") {
		return 0
	}
	first, end, _ := strings.Cut(fields[0], "-")
	from, err := strconv.ParseInt(first, 16, 64)
	if err != nil {
		return 0
	}
	to, err := strconv.ParseInt(end, 16, 64)
	if err != nil {
		return 0
	}
	return to - from
}
