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

// Usage is what a process has used of the machine.
type Usage struct {
	CPU    time.Duration // user and system time of all its threads
	Memory int64         // bytes, peak resident size (VmHWM)
}

// Usage reads what the process has used so far; after its end, in total.
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

// clockTick is the unit of times in /proc/PID/stat (proc_pid_stat(5)): USER_HZ,
// which Linux keeps at 100 a second on all machines that Go runs on.
const clockTick = 10 * time.Millisecond

// usageOf reads /proc. Where the system has it, the time comes from
// /proc/PID/task/*/schedstat, in nanoseconds: a hundredth of a second is much
// of what an idle node takes in some seconds.
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

// peakMemory reads VmHWM, in bytes; 0 if there is none.
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

// cpuOf reads utime and stime, the 14th and 15th fields of /proc/PID/stat. The
// 2nd, the command's name in brackets, may contain anything.
func cpuOf(stat []byte) (time.Duration, error) {
	const user, system = 11, 12 // after the name
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if end < 0 || len(fields) <= system {
		return 0, errors.New("is not of the known form")
	}
	userTicks, userErr := strconv.ParseInt(fields[user], 10, 64)
	systemTicks, systemErr := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(userTicks+systemTicks) * clockTick, errors.Join(userErr, systemErr)
}

// schedTimeOf sums the threads' time on a processor. Threads that have ended
// are missing, but those of Go's runtime stay.
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
