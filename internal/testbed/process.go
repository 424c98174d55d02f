// Package testbed starts a deployment as child processes on loopback, for system tests and measurements. The
// processes are agents, entries, and stand-ins for the platform and the backend servers. The package can stop, kill
// and freeze each of them. The programs themselves never use it.
package testbed

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	stopTimeout  = 15 * time.Second // from SIGTERM until a process is killed
	readyTimeout = 15 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Process is a child process whose output goes to a log file.
type Process struct {
	Name string
	// LogFile is the path of the file with the stdout and stderr of the process.
	LogFile string

	command *exec.Cmd
	ended   chan struct{}
	err     error // exit error of the process; valid after ended is closed
}

// StartProcess starts binary with args. It appends the output to the file name.log in folder.
func StartProcess(folder, name, binary string, args ...string) (*Process, error) {
	logFile := filepath.Join(folder, name+".log")
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, ErrStart.Wrap(err, "log of %s", name)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, ErrStart.Wrap(err, "process %s", name)
	}
	p := &Process{Name: name, LogFile: logFile, command: command, ended: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Terminate sends SIGTERM to the process and does not wait.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Stop resumes and terminates the process and waits for its end. It kills the process after stopTimeout. It returns
// the exit error of the process.
func (p *Process) Stop() error {
	p.Thaw()
	p.Terminate()
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.Kill()
	}
	return p.err
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Freeze pauses the process with SIGSTOP.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a paused process.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// awaitListening waits until a TCP connection to address succeeds. It returns an ErrStart when the process ends or
// readyTimeout passes first.
func (p *Process) awaitListening(address string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-p.ended:
			return ErrStart.New("process %s ended: %v; see %s", p.Name, p.err, p.LogFile)
		default:
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err == nil {
			_ = conn.Close()
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ErrStart.New("process %s does not listen on %s", p.Name, address)
}
