package fault

import (
	"fmt"
	"strconv"
	"unicode/utf8"
)

// maxQuoted is the number of bytes that Quote quotes.
const maxQuoted = 64

// Quote quotes the beginning of a text that others wrote, which may have any length and content: control characters and
// bytes that are not UTF-8 are escaped.
func Quote(text string) string {
	if len(text) <= maxQuoted {
		return strconv.Quote(text)
	}
	end := maxQuoted
	for end > maxQuoted-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%q... (%d bytes)", text[:end], len(text))
}
