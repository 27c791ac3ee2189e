package rules

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// rateUnit is the number of Rate units in one request per second.
const rateUnit = 1_000_000

// MaxRate bounds the rate of a team.
const MaxRate Rate = 1_000_000_000 * rateUnit

// Rate is a request rate in millionths of a request per second. An integer makes
// sums and the round trip through text exact.
type Rate int64

// PerSecond returns the rate in requests per second.
func (r Rate) PerSecond() float64 {
	return float64(r) / rateUnit
}

// String returns the rate in the format of the rules file, such as "50/s" or
// "0.5/s".
func (r Rate) String() string {
	return string(r.appendText(nil))
}

func (r Rate) appendText(b []byte) []byte {
	b = strconv.AppendInt(b, int64(r/rateUnit), 10)
	fraction := int64(r % rateUnit)
	if fraction > 0 {
		b = append(b, '.')
		for unit := int64(rateUnit / 10); fraction > 0; unit /= 10 {
			b = append(b, byte('0'+fraction/unit))
			fraction %= unit
		}
	}
	return append(b, "/s"...)
}

// ParseRate parses a positive rate of at most MaxRate, such as "50/s" or "0.5/s",
// with at most six decimals.
func ParseRate(text string) (Rate, bool) {
	number, found := strings.CutSuffix(text, "/s")
	if !found {
		return 0, false
	}
	integer, decimals, hasPoint := strings.Cut(number, ".")
	if !isDigits(integer) || len(integer) > 10 {
		return 0, false
	}
	if hasPoint && (!isDigits(decimals) || len(decimals) > 6) {
		return 0, false
	}
	var rate Rate
	for _, c := range []byte(integer) {
		rate = rate*10 + Rate(c-'0')
	}
	rate *= rateUnit
	unit := Rate(rateUnit / 10)
	for _, c := range []byte(decimals) {
		rate += Rate(c-'0') * unit
		unit /= 10
	}
	return rate, rate > 0 && rate <= MaxRate
}

func isDigits(text string) bool {
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return text != ""
}

// parseCount parses a whole number from 1 to the limit.
func parseCount(text string, limit int) (int, bool) {
	if !isDigits(text) {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1 && n <= limit
}

// ValidName reports whether the text is a valid name of a service, team, zone or
// backend server: up to 63 letters, digits, '.', '_' and '-', starting with a letter
// or digit.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameLength || !isLetterOrDigit(text[0]) {
		return false
	}
	for _, c := range []byte(text) {
		if !isLetterOrDigit(c) && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// validMethod reports whether the text is an HTTP method in upper case. CONNECT and
// TRACE are invalid because the proxy does not forward them.
func validMethod(text string) bool {
	if text == "" || len(text) > 32 || text == "CONNECT" || text == "TRACE" {
		return false
	}
	for _, c := range []byte(text) {
		if (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return true
}

// validHost reports whether the text is a host name or IPv4 address in lower case.
func validHost(text string) bool {
	if len(text) > 253 {
		return false
	}
	for label := range strings.SplitSeq(text, ".") {
		if label == "" || len(label) > 63 || label[0] == '-' || label[len(label)-1] == '-' {
			return false
		}
		for _, c := range []byte(label) {
			if !isLetterOrDigit(c) && c != '-' && c != '_' || c >= 'A' && c <= 'Z' {
				return false
			}
		}
	}
	return true
}

// validPath reports whether the text is an unambiguous request path of at most
// MaxPathLength bytes without white space, control characters, '#', '?' and '*'.
func validPath(text string) bool {
	if len(text) > MaxPathLength || !utf8.ValidString(text) || isAmbiguousPath(text) {
		return false
	}
	for _, c := range text {
		if c == '#' || c == '?' || c == '*' || unicode.IsSpace(c) || unicode.IsControl(c) {
			return false
		}
	}
	return true
}

// validPattern reports whether the text is a valid exact path, or a path prefix that
// ends in "/*".
func validPattern(text string) bool {
	if prefix, found := strings.CutSuffix(text, "/*"); found {
		text = prefix + "/"
	}
	return validPath(text)
}

// isAmbiguousPath reports whether the path is not absolute, or contains empty or dot
// segments or a backslash. A backend server might resolve such a path to one that
// another route protects. Parameters after ';' are disregarded in dot segments,
// because some servers ignore them.
func isAmbiguousPath(path string) bool {
	if path == "" || path[0] != '/' || strings.IndexByte(path, '\\') >= 0 {
		return true
	}
	for i := 0; i < len(path); {
		segment := path[i+1:]
		last := true
		if end := strings.IndexByte(segment, '/'); end >= 0 {
			segment, last = segment[:end], false
		}
		i += 1 + len(segment)
		if isDotSegment(segment) || segment == "" && !last {
			return true
		}
	}
	return false
}

// isDotSegment reports whether the segment is "." or "..", with or without
// parameters after ';'.
func isDotSegment(segment string) bool {
	if segment == "" || segment[0] != '.' {
		return false
	}
	segment, _, _ = strings.Cut(segment, ";")
	return segment == "." || segment == ".."
}

// validCommentText reports whether the text is valid UTF-8 without control
// characters, so that a comment preserves it.
func validCommentText(text string) bool {
	if !utf8.ValidString(text) {
		return false
	}
	for _, c := range text {
		if unicode.IsControl(c) {
			return false
		}
	}
	return true
}
