package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is the processor time and the memory that a process has used.
type Usage struct {
	CPU    time.Duration // user and system time of all its threads
	Memory int64         // bytes, peak resident size (VmHWM)
}

// Usage returns what the process has used so far, or in total if it has exited.
func (p *Process) Usage() (Usage, error) {
	if p.Alive() {
		return usageOf(p.Pid())
	}
	u := Usage{CPU: p.state.UserTime() + p.state.SystemTime()}
	if r, ok := p.state.SysUsage().(*syscall.Rusage); ok {
		u.Memory = r.Maxrss << 10
	}
	return u, nil
}

// clockTick is the unit of times in /proc/PID/stat, see proc_pid_stat(5). It
// follows from USER_HZ, which is 100 on all Linux machines that Go supports.
const clockTick = 10 * time.Millisecond

// usageOf reads the usage of a running process from /proc. If the system has
// /proc/PID/task/*/schedstat, the processor time comes from there, in
// nanoseconds: the clock tick of 1/100 s is too coarse, as it is a large part of
// what an idle node uses in a few seconds.
func usageOf(pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %w", err)
	}
	var u Usage
	u.Memory, err = peakMemory(string(status))
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %s/status: %w", dir, err)
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %w", err)
	}
	u.CPU, err = cpuOf(stat)
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %s/stat: %w", dir, err)
	}
	if precise, ok := schedTimeOf(dir); ok {
		u.CPU = precise
	}
	return u, nil
}

// peakMemory reads VmHWM from /proc/PID/status and returns it in bytes; 0 if
// there is no such line.
func peakMemory(status string) (int64, error) {
	for line := range strings.SplitSeq(status, "\n") {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
		return kb << 10, err
	}
	return 0, nil
}

// cpuOf returns the sum of utime and stime, the 14th and 15th fields of
// /proc/PID/stat. The fields are counted from the last closing parenthesis,
// because the 2nd field, the command name in parentheses, may contain anything.
func cpuOf(stat []byte) (time.Duration, error) {
	const user, system = 11, 12 // indexes of the fields after the command name
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if end < 0 || len(fields) <= system {
		return 0, fmt.Errorf("unexpected format %q, want at least 15 fields", stat)
	}
	userTicks, userErr := strconv.ParseInt(fields[user], 10, 64)
	systemTicks, systemErr := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(userTicks+systemTicks) * clockTick, errors.Join(userErr, systemErr)
}

// schedTimeOf sums the time that the threads of a process have run, from their
// schedstat files. Threads that have exited are not included, but Go's runtime
// keeps its threads. The second result is false if the system has no such files
// or one of them cannot be read.
func schedTimeOf(dir string) (time.Duration, bool) {
	files, _ := filepath.Glob(dir + "/task/*/schedstat")
	var sum time.Duration
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			return 0, false
		}
		first, _, _ := strings.Cut(string(raw), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, false
		}
		sum += time.Duration(ns)
	}
	return sum, sum > 0
}
