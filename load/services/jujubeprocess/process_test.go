// Package jujubeprocess_test runs the programs as processes on loopback and ends, pauses and cuts them off, which tests
// inside one process can't do.
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
	// conditionLimit is generous because a shared machine may pause all processes for more than a minute.
	conditionLimit = 3 * time.Minute
	conditionPoll  = 20 * time.Millisecond
	// tailLines is how much of each process's log a failed test prints.
	tailLines = 8
)

// programs is the directory of the built programs; TestMain sets it before any test runs.
var programs string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "jujubeprocess")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
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

// process is a program that a test started. It is killed at the end of the test.
type process struct {
	name    string
	command *exec.Cmd
	log     logBuffer
	// done is closed when the process has ended.
	done chan struct{}
}

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

func (b *logBuffer) tail() string {
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// startFrom starts a program of the build in a directory.
func startFrom(t *testing.T, directory, program, name string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(directory, program), arguments...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	// The processes must not outlive a test binary that ends by its timeout. With a group of its own a stopped process gets
	// no SIGHUP when the session of the test run ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		// It may have ended before.
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

// kill ends the process at once and waits for its end.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitExit waits for the end of the process and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	eventually(t, p.name+" ends", p.hasEnded)
	return p.command.ProcessState.ExitCode()
}

var listenLine = regexp.MustCompile(`msg="emulator is listening" Address="([^"]+)"`)

// address waits for the line with which an emulator tells its address.
func (p *process) address(t *testing.T) string {
	t.Helper()
	var found []string
	eventually(t, p.name+" listens", func() bool {
		assert.Assert(t, !p.hasEnded(), "%s has ended: %s", p.name, p.log.tail())
		found = listenLine.FindStringSubmatch(p.log.String())
		return found != nil
	})
	return found[1]
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionLimit); !condition(); time.Sleep(conditionPoll) {
		assert.Assert(t, time.Now().Before(deadline), "not within %s: %s", conditionLimit, what)
	}
}

// freeAddresses returns addresses that nothing listens on. They are all held until the last is known, so that they differ.
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

// ctl runs jujubectl and returns its output and exit code.
func ctl(t *testing.T, arguments ...string) (string, int) {
	t.Helper()
	return ctlFrom(t, programs, arguments...)
}

// ctlFrom runs the jujubectl of the build in a directory.
func ctlFrom(t *testing.T, directory string, arguments ...string) (string, int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionLimit)
	defer cancel()
	output, err := exec.CommandContext(ctx, filepath.Join(directory, "jujubectl"), arguments...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Errorf("jujubectl %v: %v", arguments, err)
		return string(output), -1
	}
	if exit != nil {
		return string(output), exit.ExitCode()
	}
	return string(output), 0
}
