package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a program that runs as a process of its own and is observed.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	// ports are the TCP ports that the process listens on.
	ports map[uint64]bool
	stop  chan struct{}

	mu    sync.Mutex
	usage Usage
}

// Usage is the most that a process has held at the same time.
type Usage struct {
	// Memory is the resident memory together with the bytes that connections have received and that
	// were not read, in bytes.
	Memory      int64
	Descriptors int
	// Resident and Unread are the parts of Memory at its peak.
	Resident, Unread int64
}

const sampleInterval = 10 * time.Millisecond

// StartProcess starts a program with a limit of its descriptors. Its output goes to log. The listeners
// are the IP:port addresses that it listens on.
func StartProcess(program []string, environment []string, descriptors int, log io.Writer, listeners ...string) (*Process, error) {
	p := &Process{exited: make(chan struct{}), stop: make(chan struct{}), ports: map[uint64]bool{}}
	for _, listener := range listeners {
		_, text, err := net.SplitHostPort(listener)
		if err != nil {
			return nil, err
		}
		port, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, err
		}
		p.ports[port] = true
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p.command = exec.Command("/bin/sh", append([]string{"-c", script}, program...)...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program[0], err)
	}
	go p.runWait()
	go p.runSampler()
	return p, nil
}

func (p *Process) runWait() {
	_ = p.command.Wait()
	close(p.exited)
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM, and SIGKILL if the process runs on for longer than timeout. It reports whether
// SIGTERM was enough.
func (p *Process) Stop(timeout time.Duration) bool {
	defer close(p.stop)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		_ = p.command.Process.Kill()
		<-p.exited
		return false
	}
}

// Peak returns the most that the process has held so far.
func (p *Process) Peak() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

func (p *Process) runSampler() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		p.sample()
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
	}
}

func (p *Process) sample() {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	resident, peak := ResidentMemory(folder)
	unread := p.unreadBytes()
	memory := max(peak, resident+unread)
	descriptors, _ := os.ReadDir(filepath.Join(folder, "fd"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if memory > p.usage.Memory {
		p.usage.Memory, p.usage.Resident, p.usage.Unread = memory, resident, unread
	}
	p.usage.Descriptors = max(p.usage.Descriptors, len(descriptors))
}

// ResidentMemory returns the resident memory of a process and its peak, in bytes. The folder is that of the
// process in /proc.
func ResidentMemory(folder string) (resident, peak int64) {
	status, _ := os.ReadFile(filepath.Join(folder, "status"))
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			resident = kilobytes << 10
		case "VmHWM":
			peak = kilobytes << 10
		}
	}
	return resident, peak
}

// unreadBytes returns the bytes that have arrived on connections to the process's listeners and were not
// read.
func (p *Process) unreadBytes() int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	const listening = "0A"
	total := int64(0)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		// Columns: number, local address, remote address, state, send:receive queue.
		columns := strings.Fields(lines.Text())
		if len(columns) < 5 || columns[3] == listening {
			continue
		}
		_, portText, _ := strings.Cut(columns[1], ":")
		port, err := strconv.ParseUint(portText, 16, 16)
		if err != nil || !p.ports[port] {
			continue
		}
		_, received, _ := strings.Cut(columns[4], ":")
		unread, _ := strconv.ParseInt(received, 16, 64)
		total += unread
	}
	return total
}
