package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// process is one program under test. Its standard output and error go to its log file.
type process struct {
	cmd    *exec.Cmd
	exited chan error
	// done is closed when the process has ended, after end has been set.
	done chan struct{}
	end  processEnd
	// isEnding is set once the test has sent a signal that ends the process.
	isEnding atomic.Bool
	// oomKillsBefore is the machine's count of out-of-memory kills at the start of the process.
	oomKillsBefore int
}

// processEnd is how a process ended.
type processEnd struct {
	at    time.Time
	state *os.ProcessState
	// oomKills is the number of processes that the machine killed meanwhile because it had no memory left.
	oomKills int
}

// String returns the exit status or the signal, the time, and the resources used.
func (e *processEnd) String() string {
	text := fmt.Sprintf("%s at %s, processor time %s", e.state, e.at.UTC().Format("15:04:05.000"), e.state.UserTime()+e.state.SystemTime())
	if usage, ok := e.state.SysUsage().(*syscall.Rusage); ok {
		text += fmt.Sprintf(", peak memory %d KiB", usage.Maxrss)
	}
	return text + fmt.Sprintf(", out-of-memory kills meanwhile: %d", e.oomKills)
}

// startLogged starts a command with its output appended to a log file.
func startLogged(cmd *exec.Cmd, logPath string) (*process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p := &process{cmd: cmd, exited: make(chan error, 1), done: make(chan struct{}), oomKillsBefore: oomKillCount()}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, err
	}
	go func() {
		err := cmd.Wait()
		p.end = processEnd{at: time.Now(), state: cmd.ProcessState, oomKills: oomKillCount() - p.oomKillsBefore}
		close(p.done)
		_ = logFile.Close()
		p.exited <- err
	}()
	return p, nil
}

// signal sends a signal. Its error says how the process ended, if it has.
func (p *process) signal(s syscall.Signal) error {
	if s == syscall.SIGKILL || s == syscall.SIGTERM || s == syscall.SIGHUP {
		p.isEnding.Store(true)
	}
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		<-p.done
		return fmt.Errorf("%w: %s", err, &p.end)
	}
	return err
}

// endedByItself returns how a process ended that the test has not ended, or nil.
func (p *process) endedByItself() *processEnd {
	select {
	case <-p.done:
		if !p.isEnding.Load() {
			return &p.end
		}
	default:
	}
	return nil
}

// oomKillCount returns the number of processes that the machine has killed because it had no memory left, or zero if it
// does not count them.
func oomKillCount() int {
	data, err := os.ReadFile("/proc/vmstat")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if value, ok := strings.CutPrefix(string(line), "oom_kill "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value)) // zero if it is not a number
			return n
		}
	}
	return 0
}

// The end of a process that the test has not ended is reported with its signal or exit status.
func TestUnexpectedEndIsDescribed(t *testing.T) {
	for _, c := range []struct{ script, want string }{
		{"kill -KILL $$", "signal: killed"}, {"kill -HUP $$", "signal: hangup"}, {"exit 3", "exit status 3"},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			p, err := startLogged(exec.Command("sh", "-c", c.script), t.TempDir()+"/sh.log")
			is.NoErr(err)
			is.True(<-p.exited != nil)
			is.True(strings.HasPrefix(p.endedByItself().String(), c.want))
			err = p.signal(syscall.SIGCONT)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			p.isEnding.Store(true)
			is.True(p.endedByItself() == nil)
		})
	}
}

// A hangup ends a daemon as SIGTERM does, with log lines that say so.
func TestHangupIsLogged(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == 3 })
	for _, host := range []ident.Host{"entry-1", "endpoint-0"} {
		c.signal(host, syscall.SIGHUP)
		is.NoErr(c.waitExit(host))
		data, err := os.ReadFile(filepath.Join(c.dir, string(host)+".log"))
		is.NoErr(err)
		is.True(bytes.Contains(data, []byte(`"event":1002,`)))
		is.True(bytes.Contains(data, []byte("hangup signal received")))
	}
}
