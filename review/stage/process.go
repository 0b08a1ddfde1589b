package stage

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process runs a program as the platform does: one that ends is started again after a short delay.
type Process struct {
	Name string

	program, dir, settings string
	record                 *Record
	// descriptors is the number that the process may have open.
	descriptors uint64

	mu     sync.Mutex
	cmd    *exec.Cmd
	ends   int
	isOver bool
	// held delays the next start until it is closed; nil for no delay.
	held chan struct{}
	done chan struct{}
}

// Start writes the settings and starts the program. Its output goes to a file.
func (p *Process) Start() error {
	path := filepath.Join(p.dir, p.Name+".toml")
	if err := p.writeSettings(path, true); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(p.dir, p.Name+".log"))
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan struct{})
	go p.run(path, out)
	return nil
}

// writeSettings writes the settings for the next start.
func (p *Process) writeSettings(path string, isFirst bool) error {
	text := fmt.Sprintf("Bootstrap = %t\n%s", isFirst, p.settings)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", p.Name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write the settings of %s: %w", p.Name, err)
	}
	return nil
}

func (p *Process) run(path string, out *os.File) {
	// The death signal of a child belongs to the thread that has started it.
	runtime.LockOSThread()
	defer close(p.done)
	defer out.Close()
	for {
		cmd := exec.Command(p.program)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		cmd.Env = []string{"NUTMEGDOCK_SETTINGS=" + path, "PATH=" + os.Getenv("PATH")}
		cmd.Stdout, cmd.Stderr = out, out
		p.mu.Lock()
		if p.isOver {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			p.record.Add("%s cannot be started: %v", p.Name, err)
			return
		}
		p.limitDescriptors(cmd.Process.Pid)
		p.record.Add("%s is started", p.Name)
		err = cmd.Wait()
		p.record.Add("%s has ended: %v", p.Name, err)
		p.mu.Lock()
		p.ends++
		p.mu.Unlock()
		if err := p.writeSettings(path, false); err != nil {
			p.record.Add("%v", err)
			return
		}
		time.Sleep(restartDelay)
		p.mu.Lock()
		held := p.held
		p.mu.Unlock()
		if held != nil {
			<-held
		}
	}
}

// limitDescriptors sets the limit that the platform sets for a process.
func (p *Process) limitDescriptors(pid int) {
	limit := &unix.Rlimit{Cur: p.descriptors, Max: p.descriptors}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		p.record.Add("the descriptors of %s are not limited: %v", p.Name, err)
	}
}

// Ends returns how often the process has ended.
func (p *Process) Ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.record.Add("%s gets signal %q", p.Name, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// Hold keeps the process from being started again until the returned function is called.
func (p *Process) Hold() (release func()) {
	held := make(chan struct{})
	p.mu.Lock()
	p.held = held
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		p.held = nil
		p.mu.Unlock()
		close(held)
	}
}

// End ends the process for good.
func (p *Process) End() {
	if p.done == nil {
		return
	}
	p.mu.Lock()
	p.isOver = true
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill() // it may have ended
	}
	p.mu.Unlock()
	<-p.done
}
