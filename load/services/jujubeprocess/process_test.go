// Package jujubeprocess_test runs the programs as processes on loopback and kills, pauses and disconnects them, which
// tests inside one process can't do.
package jujubeprocess_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// conditionTimeout is generous because a shared machine may suspend all processes for more than a minute.
	conditionTimeout = 3 * time.Minute
	pollInterval     = 20 * time.Millisecond
	// tailLines is how many of the last log lines of each process a failed test prints.
	tailLines = 8
)

// programDirectory is the directory of the programs built from this source; TestMain sets it before any test runs.
var programDirectory string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, runs the tests and returns the exit code.
func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "jujubeprocess")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programDirectory = directory
	for module, program := range map[string]string{
		"entry": "jujubepier", "ctl": "jujubectl", "standin": "jujubestandin", "load": "jujubeload",
	} {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, program), ".")
		build.Dir = filepath.Join("..", "..", "..", module)
		build.Env = append(os.Environ(), "CGO_ENABLED=1")
		if output, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, output)
			return 1
		}
	}
	return m.Run()
}

// process is a program that a test started. It is killed when the test ends.
type process struct {
	name    string
	command *exec.Cmd
	log     logBuffer
	// done is closed when the process has exited.
	done chan struct{}
}

// logBuffer collects the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// tail returns the last lines.
func (b *logBuffer) tail() string {
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// startProcess starts a program from the directory of a build. The process is killed when the test ends, and a failed test
// prints the end of its log.
func startProcess(t *testing.T, directory, program, name string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(directory, program), arguments...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	// Pdeathsig: the processes must not outlive a test binary that is ended by its timeout. Setpgid: a stopped process in a
	// process group of its own gets no SIGHUP when the session of the test run ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		// The error is ignored because the process may have exited already.
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("--- end of the log of %s (%s)\n%s", name, p.command.ProcessState, p.log.tail())
		}
	})
	return p
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(signal), p.name)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	eventually(t, p.name+" exits", p.hasExited)
	return p.command.ProcessState.ExitCode()
}

var listenLine = regexp.MustCompile(`msg="emulator is listening" Address="([^"]+)"`)

// waitAddress waits for the log line that contains an emulator's listen address and returns the address.
func (p *process) waitAddress(t *testing.T) string {
	t.Helper()
	var match []string
	eventually(t, p.name+" listens", func() bool {
		assert.Assert(t, !p.hasExited(), "%s has exited: %s", p.name, p.log.tail())
		match = listenLine.FindStringSubmatch(p.log.String())
		return match != nil
	})
	return match[1]
}

// eventually polls a condition until it holds, and fails the test after conditionTimeout. The message names the
// condition by its description.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(pollInterval) {
		assert.Assert(t, time.Now().Before(deadline), "not within %s: %s", conditionTimeout, description)
	}
}

// freeAddresses returns distinct addresses that nothing listens on. All listeners stay open until the last address is
// known, so that no port is returned twice.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// runCtl runs the jujubectl of this build and returns its output and exit code.
func runCtl(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	return runCtlFrom(t, programDirectory, arguments...)
}

// runCtlFrom runs the jujubectl in the directory of a build.
func runCtlFrom(t *testing.T, directory string, arguments ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, filepath.Join(directory, "jujubectl"), arguments...).CombinedOutput()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		t.Errorf("jujubectl %v: %v", arguments, err)
		return string(output), -1
	}
	if exitErr != nil {
		return string(output), exitErr.ExitCode()
	}
	return string(output), 0
}
