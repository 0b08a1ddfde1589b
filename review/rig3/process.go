package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one of the project's programs, started as the deploy file does.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess writes the settings file of a process and starts its program in the repository's root.
func startProcess(workDir, name, program, settings string) (*process, error) {
	path := filepath.Join(workDir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	logFile, err := os.Create(filepath.Join(workDir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{cmd: exec.Command(filepath.Join("target", program)), done: make(chan struct{})}
	p.cmd.Env = []string{"NUTMEGDOCK_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		defer close(p.done)
		defer logFile.Close()
		_ = p.cmd.Wait() // it is killed at the end
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// await waits until a condition holds, for a time at most, and reports whether it does.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
