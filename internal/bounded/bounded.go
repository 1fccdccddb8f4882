// Package bounded reads what other processes send, up to a bound.
package bounded

import (
	"io"

	"github.com/pkg/errors"
)

// ReadAll returns all bytes of r. If there are more than maxBytes, it returns an error without
// reading further.
func ReadAll(r io.Reader, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if int64(len(raw)) > maxBytes {
		return nil, errors.Errorf("longer than %d bytes", maxBytes)
	}
	return raw, nil
}
