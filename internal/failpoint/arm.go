package failpoint

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// InjectedError is the error of a point that was armed with the action "error".
type InjectedError struct{ Point string }

func (e InjectedError) Error() string { return "injected at " + e.Point }

// arming is what one entry of a specification arms a point with.
type arming struct {
	point       string
	action      func() error
	pass        int64 // at which the action happens; the first is 1
	everyLater  bool  // it happens at every later pass too
	passesSoFar atomic.Int64
}

// Arm arms points by a specification POINT=ACTION[@N][,...]. ACTION is "kill" (the process gets SIGKILL), "stop"
// (SIGSTOP), "error", or a duration to wait. It happens at the Nth pass of the point, 1 if absent; a wait also happens at
// every later pass. Arm fails if an entry is invalid, or if a point does not exist or has two entries; the points of earlier
// entries are armed then.
func Arm(specification string) error {
	armed := map[string]bool{}
	for entry := range strings.SplitSeq(specification, ",") {
		a, err := parseArming(entry)
		if err != nil {
			return err
		}
		if armed[a.point] {
			return fmt.Errorf("failpoint: %s has two entries", a.point)
		}
		armed[a.point] = true
		if _, err := Set(a.point, a.passed); err != nil {
			return err
		}
	}
	return nil
}

// parseArming parses POINT=ACTION[@N].
func parseArming(entry string) (*arming, error) {
	point, action, ok := strings.Cut(strings.TrimSpace(entry), "=")
	if !ok {
		return nil, fmt.Errorf("failpoint: %q is not POINT=ACTION", entry)
	}
	action, pass, hasPass := strings.Cut(action, "@")
	a := &arming{point: point, pass: 1}
	if hasPass {
		var err error
		if a.pass, err = strconv.ParseInt(pass, 10, 64); err != nil || a.pass < 1 {
			return nil, fmt.Errorf("failpoint: %q: the pass must be a number from 1", entry)
		}
	}
	if wait, err := time.ParseDuration(action); err == nil && wait > 0 {
		a.everyLater = true
		a.action = func() error { time.Sleep(wait); return nil }
		return a, nil
	}
	switch action {
	case "kill":
		a.action = func() error { return signalSelf(syscall.SIGKILL) }
	case "stop":
		a.action = func() error { return signalSelf(syscall.SIGSTOP) }
	case "error":
		a.action = func() error { return InjectedError{point} }
	default:
		return nil, fmt.Errorf("failpoint: %s: unknown action %q", point, action)
	}
	return a, nil
}

// passed is the hook of the point.
func (a *arming) passed() error {
	pass := a.passesSoFar.Add(1)
	if pass == a.pass || a.everyLater && pass > a.pass {
		return a.action()
	}
	return nil
}

// signalSelf sends a signal to this process. It does not return after SIGKILL.
func signalSelf(signal syscall.Signal) error {
	if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
		return err
	}
	if signal == syscall.SIGKILL {
		select {} // the signal may take a moment, in which no code may run on
	}
	return nil
}
