// Package loopback reserves addresses on this machine for processes that are started later.
//
// An address is free when it is reserved. No process that uses this package gets it again before it is released, and it
// is below the ports that the system uses for outgoing connections, so that none of these has it when the process
// listens.
//
// A [Ports] may be used by several goroutines. Start reading at [Ports.Next].
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
)

const (
	// minPort is the lowest port that is reserved.
	minPort = 10_240
	// defaultPortEnd is where reserved ports end if the system's ephemeral ports start later or are not known.
	defaultPortEnd = 32_768
	// maxAttempts is how many ports are tried for a free one.
	maxAttempts = 1000
)

// Ports reserves addresses. The zero value is ready for use.
type Ports struct {
	mu           sync.Mutex
	reservations []net.Listener // abstract sockets (unix(7)), whose names other processes find in use
}

// Next reserves an address, HOST:PORT, that is free for TCP and UDP.
func (p *Ports) Next() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end, err := portEnd(readEphemeralRange())
	if err != nil {
		return "", err
	}
	for range maxAttempts {
		port := minPort + rand.IntN(end-minPort)
		reservation, err := net.Listen("unix", fmt.Sprint("@wingmount-port-", port))
		if err != nil {
			continue // another process has reserved it
		}
		if address := fmt.Sprint("127.0.0.1:", port); isFree(address) {
			p.reservations = append(p.reservations, reservation)
			return address, nil
		}
		_ = reservation.Close() // nothing was written
	}
	return "", fmt.Errorf("finding a free port: none of %d between %d and %d", maxAttempts, minPort, end)
}

// Close releases all addresses.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var errs []error
	for _, reservation := range p.reservations {
		errs = append(errs, reservation.Close())
	}
	p.reservations = nil
	return errors.Join(errs...)
}

// isFree reports whether nothing uses an address for TCP or UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = packets.Close() // nothing was written
	return true
}

// errFewPorts is the error of a system that may use almost all ports for outgoing connections.
var errFewPorts = errors.New("too few ports are below those of outgoing connections")

// readEphemeralRange returns the first and the last port that the system may use for outgoing connections (ip(7)) as
// text, "" if they are not known.
func readEphemeralRange() string {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// portEnd returns the end of the ports to reserve: the start of a range of ephemeral ports, at most defaultPortEnd, which
// it also returns for a range that it can't read. It returns an error wrapping errFewPorts if too few are left.
func portEnd(ephemeralRange string) (int, error) {
	first, last := 0, 0
	if read, _ := fmt.Sscan(ephemeralRange, &first, &last); read < 2 {
		return defaultPortEnd, nil
	}
	if first < minPort+maxAttempts {
		return 0, fmt.Errorf("%w: these start at %d, want %d or more", errFewPorts, first, minPort+maxAttempts)
	}
	return min(first, defaultPortEnd), nil
}
