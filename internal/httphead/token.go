package httphead

import "bytes"

// IsToken reports whether name is a token (RFC 9110, section 5.6.2), as the names of header fields are.
func IsToken(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return true
}
