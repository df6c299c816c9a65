// Package badclient plays clients that misbehave towards a server of HTTP/1.1 on loopback: clients that send slowly or not
// to the end, that send headers of very many fields, that send requests without waiting for the answers, and that leave
// before they have read them.
//
// Each function opens its own connections and closes them before it returns. It returns early when its context ends.
// Start reading at [Group].
package badclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout is how long one connection may take to come up.
const dialTimeout = 5 * time.Second

// Group is a number of equal clients of one server, which connect at the same time.
type Group struct {
	Address string
	Clients int
}

// play connects all clients and runs one function for each. Errors end the client only: a server may close at any time.
func (g Group) play(ctx context.Context, client func(ctx context.Context, conn net.Conn, number int)) {
	var running sync.WaitGroup
	for i := range g.Clients {
		running.Go(func() {
			dialer := net.Dialer{Timeout: dialTimeout}
			conn, err := dialer.DialContext(ctx, "tcp", g.Address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			client(ctx, conn, i)
		})
	}
	running.Wait()
}

// SlowFields sends a request line and then one short header field in each interval, until the server closes.
func (g Group) SlowFields(ctx context.Context, interval time.Duration) {
	g.play(ctx, func(ctx context.Context, conn net.Conn, number int) {
		if _, err := fmt.Fprintf(conn, "POST /slow-%d HTTP/1.1\r\nHost: x\r\n", number); err != nil {
			return
		}
		for i := 0; ctx.Err() == nil; i++ {
			if _, err := fmt.Fprintf(conn, "f%d: v\r\n", i); err != nil {
				return
			}
			pause(ctx, interval)
		}
	})
}

// ManyFields sends headers of some thousand fields of one letter each, bytes long in all, and ends them after a while. It
// then waits for the server.
func (g Group) ManyFields(ctx context.Context, bytes int, after time.Duration) {
	const field = "%c:\r\n"
	var head strings.Builder
	head.WriteString("POST /many HTTP/1.1\r\nHost: x\r\n")
	for i := 0; head.Len()+len(field) < bytes; i++ {
		fmt.Fprintf(&head, field, 'a'+rune(i%26))
	}
	text := head.String()
	g.play(ctx, func(ctx context.Context, conn net.Conn, _ int) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		pause(ctx, after)
		if _, err := io.WriteString(conn, "\r\n"); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}

// PartialBodies sends a request of which the last bytes never come, and waits for the server. Request returns the header
// of the client with a number, which announces length bytes.
func (g Group) PartialBodies(ctx context.Context, length, missing int, header func(number int) string) {
	g.play(ctx, func(_ context.Context, conn net.Conn, number int) {
		if _, err := io.WriteString(conn, header(number)); err != nil {
			return
		}
		if _, err := conn.Write(bytes.Repeat([]byte("x"), length-missing)); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}

// Flood sends requests on each connection at full speed, while it reads the answers. Request returns each request; it is
// called by several goroutines. Flood connects again when the server closes, and ends with the context. It returns the
// number of requests sent.
func (g Group) Flood(ctx context.Context, request func(client, number int) []byte) int {
	var sent atomic.Int64
	for ctx.Err() == nil {
		g.play(ctx, func(ctx context.Context, conn net.Conn, client int) {
			var reading sync.WaitGroup
			reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
			writer := bufio.NewWriter(conn)
			for ctx.Err() == nil {
				if _, err := writer.Write(request(client, int(sent.Add(1)))); err != nil {
					break
				}
			}
			_ = conn.Close()
			reading.Wait()
		})
	}
	return int(sent.Load())
}

// Leave sends requests in one write on each connection, and closes it after a while without having read an answer.
func (g Group) Leave(ctx context.Context, after time.Duration, requests func(client int) []byte) {
	g.play(ctx, func(ctx context.Context, conn net.Conn, client int) {
		if _, err := conn.Write(requests(client)); err == nil {
			pause(ctx, after)
		}
	})
}

// Answered sends one request on a connection of its own, and returns the status code and how long the answer took.
func Answered(address string, request []byte, timeout time.Duration) (status int, took time.Duration, err error) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, time.Since(start), err
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	if err := conn.SetDeadline(start.Add(timeout)); err != nil {
		return 0, time.Since(start), err
	}
	if _, err := conn.Write(request); err != nil {
		return 0, time.Since(start), err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return 0, time.Since(start), err
	}
	_, err = fmt.Sscanf(line, "HTTP/1.1 %d", &status)
	return status, time.Since(start), err
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
