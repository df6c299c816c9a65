package scaletest

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of all reachable objects. The second collection empties the pools.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// residentMemory returns the resident memory of this process in bytes, 0 where it cannot be read.
func residentMemory() int64 {
	u, err := processUsage(os.Getpid())
	if err != nil {
		return 0
	}
	return u.Resident
}

// Usage is what a process has used since its start or in a span.
type Usage struct {
	CPU      time.Duration `json:"cpu"`
	Resident int64         `json:"resident"` // bytes, at the reading
	Peak     int64         `json:"peak"`     // bytes, at the most
	IO       int64         `json:"io"`       // bytes that it read and wrote, on sockets and files
}

// since returns what was used after an earlier reading.
func (u Usage) since(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.IO -= earlier.IO
	return u
}

// plus returns the usage of both.
func (u Usage) plus(other Usage) Usage {
	return Usage{CPU: u.CPU + other.CPU, Resident: u.Resident + other.Resident, Peak: u.Peak + other.Peak, IO: u.IO + other.IO}
}

// dividedBy returns the usage of one of count processes.
func (u Usage) dividedBy(count int) Usage {
	n := int64(count)
	return Usage{CPU: u.CPU / time.Duration(count), Resident: u.Resident / n, Peak: u.Peak / n, IO: u.IO / n}
}

// clockTicks is the unit of /proc/PID/stat in ticks a second: USER_HZ, which Linux fixes at 100.
const clockTicks = 100

// processUsage reads what a process has used.
func processUsage(pid int) (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields behind the name, which may have spaces and ends with the last ')'.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return u, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(string(fields[userTime]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[systemTime]), 10, 64)
	u.CPU = time.Duration(user+system) * time.Second / clockTicks
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.Resident = field(status, "VmRSS:") << 10
	u.Peak = field(status, "VmHWM:") << 10
	transfers, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.IO = field(transfers, "rchar:") + field(transfers, "wchar:")
	return u, nil
}

// field returns the number after a name at the begin of a line, 0 where it is missing.
func field(text []byte, name string) int64 {
	for line := range bytes.Lines(text) {
		rest, found := bytes.CutPrefix(line, []byte(name))
		if !found {
			continue
		}
		words := bytes.Fields(rest)
		if len(words) == 0 {
			return 0
		}
		number, _ := strconv.ParseInt(string(words[0]), 10, 64)
		return number
	}
	return 0
}
