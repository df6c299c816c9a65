package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of times in /proc/PID/stat on Linux (USER_HZ, see proc(5)).
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the name of the program, counted from 0 (proc(5)).
const (
	statState  = 0
	statUtime  = 11
	statStime  = 12
	statFields = 13 // at least so many are needed
)

// stat returns the fields of /proc/PID/stat after the name of the program, which is in brackets.
func (p *process) stat() ([]string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return nil, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < statFields {
		return nil, fmt.Errorf("/proc/%d/stat has %d fields", p.cmd.Process.Pid, len(fields))
	}
	return fields, nil
}

// CPUTime returns the processor time that the process has used so far.
func (p *process) CPUTime() (time.Duration, error) {
	fields, err := p.stat()
	if err != nil {
		return 0, fmt.Errorf("reading a process's processor time: %w", err)
	}
	var sum time.Duration
	for _, field := range []int{statUtime, statStime} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("reading a process's processor time: %w", err)
		}
		sum += time.Duration(ticks) * clockTick
	}
	return sum, nil
}

// ProcessorWait returns for how long the threads of the process that still run were ready and had no processor. Tests print
// it beside a failure, to separate a slow node from a busy machine.
func (p *process) ProcessorWait() (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("reading a process's wait for processors: %w", err)
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		wait, err := schedstatWait(string(text))
		if err != nil {
			return 0, fmt.Errorf("reading a process's wait for processors: %w", err)
		}
		sum += wait
	}
	return sum, nil
}

// schedstatWait returns the wait in a line of schedstat: time on a processor and time in its queue, in nanoseconds, and the
// number of times that the thread was scheduled.
func schedstatWait(line string) (time.Duration, error) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return 0, errors.New("no wait in schedstat: " + line)
	}
	wait, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(wait), err
}

// PeakMemory returns the highest number of bytes that the process has had resident.
func (p *process) PeakMemory() (int64, error) { return p.memory("VmHWM:") }

// ResidentMemory returns how many bytes of the process are resident.
func (p *process) ResidentMemory() (int64, error) { return p.memory("VmRSS:") }

// memory returns a field of /proc/PID/status (proc(5)) in bytes.
func (p *process) memory(field string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("reading a process's memory: %w", err)
	}
	_, rest, ok := strings.Cut(string(status), field)
	words := strings.Fields(rest)
	if !ok || len(words) == 0 {
		return 0, errors.New("reading a process's memory: no field " + field)
	}
	kilobytes, err := strconv.ParseInt(words[0], 10, 64)
	return kilobytes << 10, err
}
