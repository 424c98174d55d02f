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
	statUserTime        = 11  // fields after the name of the program
	statSystemTime      = 12
)

// processSample is what the kernel counts for a process.
type processSample struct {
	at    time.Time
	cpu   time.Duration
	rss   int64
	bytes int64
}

// ProcessUse is what a process used over a time.
type ProcessUse struct {
	Name string `json:"name"`
	// CPUShare is the part of one core.
	CPUShare float64 `json:"cpu_share"`
	// RSSBytes is the resident memory at the end.
	RSSBytes int64 `json:"rss_bytes"`
	// BytesPerSecond is what read and write calls moved, both ways; datagrams are not in it.
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
	// The name of the program stands in parentheses and may hold blanks.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTime {
		return s, errMalformed.New("process %d has %d fields", pid, len(fields))
	}
	ticks := number(fields[statUserTime]) + number(fields[statSystemTime])
	s.cpu = time.Duration(ticks) * time.Second / clockTicksPerSecond
	s.rss = procValue(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:") * 1024
	io := fmt.Sprintf("/proc/%d/io", pid)
	s.bytes = procValue(io, "rchar:") + procValue(io, "wchar:")
	return s, nil
}

// procValue returns the number after a name in a file of the kernel, or 0.
func procValue(file, name string) int64 {
	content, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return number(strings.Fields(rest)[0])
		}
	}
	return 0
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// usesBetween returns the use of the processes that both samples have, by name.
func usesBetween(before, after map[string]processSample) []ProcessUse {
	uses := []ProcessUse{}
	for name, to := range after {
		from, ok := before[name]
		seconds := to.at.Sub(from.at).Seconds()
		if !ok || seconds <= 0 {
			continue
		}
		uses = append(uses, ProcessUse{
			Name:           name,
			CPUShare:       (to.cpu - from.cpu).Seconds() / seconds,
			RSSBytes:       to.rss,
			BytesPerSecond: float64(to.bytes-from.bytes) / seconds,
		})
	}
	sortUses(uses)
	return uses
}
