package consensus

import (
	"context"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// logger writes log lines of the raft library to a slog.Logger. A Fatal or Panic call of the library stops the
// member, not the process; other panics are not recovered: see [Node.Run].
type logger struct{ log *slog.Logger }

var _ raft.Logger = logger{}

// libraryPanic is the panic value for Fatal and Panic calls of the raft library.
type libraryPanic struct{ text string }

// libraryMessage is the constant message of all log lines of the raft library. The library's text is an attribute.
const libraryMessage = "quorum: raft library"

func (l logger) write(level slog.Level, text string) {
	l.log.Log(context.Background(), level, libraryMessage, "text", text)
}

func (l logger) Debug(v ...any)                   { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Debugf(format string, v ...any)   { l.write(slog.LevelDebug, fmt.Sprintf(format, v...)) }
func (l logger) Info(v ...any)                    { l.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Infof(format string, v ...any)    { l.write(slog.LevelDebug, fmt.Sprintf(format, v...)) }
func (l logger) Warning(v ...any)                 { l.write(slog.LevelWarn, fmt.Sprint(v...)) }
func (l logger) Warningf(format string, v ...any) { l.write(slog.LevelWarn, fmt.Sprintf(format, v...)) }
func (l logger) Error(v ...any)                   { l.write(slog.LevelError, fmt.Sprint(v...)) }
func (l logger) Errorf(format string, v ...any)   { l.write(slog.LevelError, fmt.Sprintf(format, v...)) }
func (l logger) Fatal(v ...any)                   { panic(libraryPanic{fmt.Sprint(v...)}) }
func (l logger) Fatalf(format string, v ...any)   { panic(libraryPanic{fmt.Sprintf(format, v...)}) }
func (l logger) Panic(v ...any)                   { panic(libraryPanic{fmt.Sprint(v...)}) }
func (l logger) Panicf(format string, v ...any)   { panic(libraryPanic{fmt.Sprintf(format, v...)}) }
