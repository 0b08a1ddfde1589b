package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

// stopTimeout bounds the wait for a process that was killed.
const stopTimeout = 5 * time.Second

// process is a program of the deploy file on one machine.
type process struct {
	// command is the command of the deploy file.
	command, name, ip, dir, settings string
	record                           *record

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start writes the settings file and starts the program.
func (p *process) start() error {
	path := filepath.Join(p.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = exec.Command(p.command), make(chan struct{})
	p.cmd.Env = []string{settings.PathVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		defer close(p.done)
		defer out.Close()
		p.record.add("process %s has ended: %v", p.name, p.cmd.Wait())
	}()
	return nil
}

// stop ends the process.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
	}
}

// awaitReady waits until the readiness address answers with 200, and reports whether it did while the process was there.
func (p *process) awaitReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		select {
		case <-p.done:
			return false
		case <-time.After(50 * time.Millisecond):
		}
		resp, err := client.Get("http://" + p.ip + ":" + readinessPort + wirenames.PathReadiness)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
