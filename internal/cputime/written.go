package cputime

import (
	"os"
	"strconv"
	"strings"
)

// BytesWritten returns the number of bytes that this process has written to files and
// connections since its start. It returns 0 if the operating system does not report this.
func BytesWritten() float64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "wchar: "); ok {
			count, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return count
		}
	}
	return 0
}
