package inifile

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const day = 24 * time.Hour

var errNotANumber = errors.New("not a number")

// ParseDuration parses a duration in Go's notation, or whole days such as
// "30d". The unit is required, also for 0.
func ParseDuration(text string) (time.Duration, error) {
	days, ok := strings.CutSuffix(text, "d")
	if !ok {
		if text == "0" { // time.ParseDuration accepts it without a unit
			return 0, errNotANumber
		}
		return time.ParseDuration(text)
	}
	n, err := strconv.ParseInt(days, 10, 64)
	if err != nil || n > int64(math.MaxInt64/day) || n < 0 {
		return 0, errNotANumber
	}
	return time.Duration(n) * day, nil
}

// FormatDuration returns d without trailing zero units, for example "1h30m".
// ParseDuration is the inverse.
func FormatDuration(d time.Duration) string {
	if d >= day && d%day == 0 {
		return strconv.FormatInt(int64(d/day), 10) + "d"
	}
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// sizeUnits is sorted from large to small: FormatSize uses the first unit that
// divides a size, and ParseSize must try "B" last, because all units end in it.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseSize parses a number of bytes with a unit, for example "16MiB".
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, errNotANumber
		}
		return n * unit.bytes, nil
	}
	return 0, errNotANumber
}

// FormatSize returns size, in bytes, in the largest unit that divides it.
// ParseSize is the inverse.
func FormatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size >= unit.bytes && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

// parseFloat accepts plain decimal notation only. Exponents, hexadecimal digits
// and "inf" are more often typing errors than intended.
func parseFloat(text string) (float64, error) {
	if strings.Trim(text, "+-.0123456789") != "" {
		return 0, errNotANumber
	}
	return strconv.ParseFloat(text, 64)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
