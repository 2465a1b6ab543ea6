package inbound

import (
	"bytes"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/filbertlever/filbertlever/internal/coordination/intake"
)

// HostOf returns what the host grants this process. Memory, in bytes, and descriptors are as the settings
// state them; 0 means as the system states them.
func HostOf(memory int64, descriptors int) intake.Host {
	if memory <= 0 {
		memory = systemMemory()
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if descriptors <= 0 || int(limit.Cur) < descriptors {
			descriptors = int(limit.Cur)
		}
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return intake.Host{Memory: memory, Descriptors: descriptors}
}

// Used if the system states no limit.
const (
	defaultDescriptors = 1 << 20
	defaultMemory      = 1 << 30
)

// runtimeLimit is the limit that GOMEMLIMIT sets; processes change the runtime's limit when they start.
var runtimeLimit = debug.SetMemoryLimit(-1)

// systemMemory returns the least of the memory that the Go runtime's variable GOMEMLIMIT, the control
// group and the machine state.
func systemMemory() int64 {
	least := runtimeLimit
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil && limit > 0 {
			least = min(least, limit)
		}
	}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) < 2 || fields[0] != "MemTotal:" {
				continue
			}
			if kilobytes, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
				least = min(least, kilobytes<<10)
			}
		}
	}
	if least == math.MaxInt64 {
		return defaultMemory
	}
	return least
}
