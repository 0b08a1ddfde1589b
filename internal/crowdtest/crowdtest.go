// Package crowdtest plays crowds of clients that do not behave against a process, and checks that the process lives, that it
// stays within its memory and descriptors, and that it answers an ordinary request afterwards.
package crowdtest

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// playTime is how long a crowd sends.
	playTime = 2 * time.Second
	// sampleInterval is the time between two measurements of the process.
	sampleInterval = 20 * time.Millisecond
	// tries is the number of times that an ordinary caller sends its request, and retryDelay the time between them.
	tries      = 20
	retryDelay = 250 * time.Millisecond
)

// Target is a process under test and one of its addresses.
type Target struct {
	// Address is the address to which the crowd connects.
	Address string
	PID     int
	// Head is the request line and the header fields of a request, without those on its body and the empty line.
	Head string
	// Memory is the bound in bytes of the resident memory and the bytes that wait in its sockets, and Descriptors that of the
	// open descriptors.
	Memory, Descriptors int
	// Ask sends an ordinary request, and AskLarge one with the largest legal body.
	Ask, AskLarge func() error
}

// Play plays a crowd and checks the process. The ordinary request is sent while the crowd's connections are still open, and
// again, with one that has a large body, after they have been closed.
func (x Target) Play(t *testing.T, f Form) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	sampler := startSampler(x)
	var wg sync.WaitGroup
	end := time.Now().Add(playTime)
	for range f.Connections {
		wg.Go(func() {
			c, err := net.Dial("tcp4", x.Address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(end)
			_ = f.Send(c, x.Head) // ends with the connection, the time or the form
		})
	}
	wg.Wait()
	time.Sleep(time.Until(end))
	if err := ask(x.Ask); err != nil {
		t.Errorf("ordinary request beside the open connections: %v", err)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	for name, request := range map[string]func() error{"ordinary request": x.Ask, "request with a large body": x.AskLarge} {
		if err := ask(request); err != nil {
			t.Errorf("%s after the crowd: %v", name, err)
		}
	}
	unread, descriptors := sampler.stop()
	peak, err := peakMemory(x.PID)
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	t.Logf("%s, %d connections: peak memory %d and unread %d of %d bytes, %d of %d descriptors, processor time %s", f.Name, f.Connections, peak, unread, x.Memory, descriptors, x.Descriptors, processorTime(x.PID))
	if peak+unread > x.Memory {
		t.Errorf("peak memory %d and unread %d bytes, want at most %d", peak, unread, x.Memory)
	}
	if descriptors > x.Descriptors {
		t.Errorf("%d descriptors, want at most %d", descriptors, x.Descriptors)
	}
}

// ask repeats a request as callers do that are refused or not answered.
func ask(request func() error) error {
	var err error
	for range tries {
		if err = request(); err == nil {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return err
}

type sampler struct {
	target              Target
	stopped             chan struct{}
	done                chan struct{}
	unread, descriptors int
}

func startSampler(x Target) *sampler {
	s := &sampler{target: x, stopped: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			s.unread = max(s.unread, unreadBytes(x.Address))
			fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", x.PID))
			s.descriptors = max(s.descriptors, len(fds))
			select {
			case <-s.stopped:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return s
}

// stop returns the largest numbers of unread bytes and of descriptors.
func (s *sampler) stop() (unread, descriptors int) {
	close(s.stopped)
	<-s.done
	return s.unread, s.descriptors
}

// unreadBytes returns the bytes that a process has received at an address and has not read.
func unreadBytes(address string) int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	a := netip.MustParseAddrPort(address)
	ip := a.Addr().As4()
	local, sum := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port()), 0
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		const localField, stateField, queueField, listen = 1, 3, 4, "0A"
		if len(fields) <= queueField || fields[localField] != local || fields[stateField] == listen {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += int(n)
	}
	return sum
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the peak of the resident memory of a process in bytes.
func peakMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	m := peakPattern.FindSubmatch(data)
	if m == nil {
		return 0, fmt.Errorf("process %d has no memory", pid)
	}
	n, err := strconv.Atoi(string(m[1]))
	return n << 10, err
}

// processorTime returns the processor time of a process.
func processorTime(pid int) time.Duration {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)) // for the log only
	_, text, _ := strings.Cut(string(data), ") ")
	const user, system, ticksPerSecond = 11, 12, 100
	fields, ticks := strings.Fields(text), 0
	for i := range fields {
		if i == user || i == system {
			n, _ := strconv.Atoi(fields[i])
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
