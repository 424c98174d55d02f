package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTicksPerSecond = 100 // of /proc/PID/stat
	statUserTimeField   = 11  // index among the fields after the program name
	statSystemTimeField = 12
)

// processSample holds the kernel's counters of a process at one time.
type processSample struct {
	at       time.Time
	cpuTime  time.Duration
	rssBytes int64
	ioBytes  int64
}

// ProcessUse is the resource usage of a process over an interval.
type ProcessUse struct {
	Name string `json:"name"`
	// CPUShare is the mean CPU usage as a part of one core.
	CPUShare float64 `json:"cpu_share"`
	// RSSBytes is the resident memory at the end of the interval.
	RSSBytes int64 `json:"rss_bytes"`
	// BytesPerSecond is the rate of bytes that read and write calls transferred in both directions; datagrams are
	// not included.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

func sampleAll(pids map[string]int) map[string]processSample {
	samples := map[string]processSample{}
	for name, pid := range pids {
		if s, err := sampleProcess(pid); err == nil {
			samples[name] = s
		}
	}
	return samples
}

func sampleProcess(pid int) (processSample, error) {
	s := processSample{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, err
	}
	// The program name is in parentheses and may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTimeField {
		return s, errMalformed.New("stat of process %d has only %d fields", pid, len(fields))
	}
	ticks := parseNumber(fields[statUserTimeField]) + parseNumber(fields[statSystemTimeField])
	s.cpuTime = time.Duration(ticks) * time.Second / clockTicksPerSecond
	s.rssBytes = procValue(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:") * 1024
	io := fmt.Sprintf("/proc/%d/io", pid)
	s.ioBytes = procValue(io, "rchar:") + procValue(io, "wchar:")
	return s, nil
}

// procValue returns the number after a name in a /proc file, or 0 without one.
func procValue(file, name string) int64 {
	content, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return parseNumber(strings.Fields(rest)[0])
		}
	}
	return 0
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// usageBetween returns the usage of the processes that are in both samples, sorted by name.
func usageBetween(before, after map[string]processSample) []ProcessUse {
	usage := []ProcessUse{}
	for name, to := range after {
		from, ok := before[name]
		seconds := to.at.Sub(from.at).Seconds()
		if !ok || seconds <= 0 {
			continue
		}
		usage = append(usage, ProcessUse{
			Name:           name,
			CPUShare:       (to.cpuTime - from.cpuTime).Seconds() / seconds,
			RSSBytes:       to.rssBytes,
			BytesPerSecond: float64(to.ioBytes-from.ioBytes) / seconds,
		})
	}
	sortUsage(usage)
	return usage
}
