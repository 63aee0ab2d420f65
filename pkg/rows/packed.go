package rows

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Values that are too large for a row of the table are compressed, and spread over several rows if need be. One transaction
// writes all of them.

const (
	// maxPlain is the size in bytes up to which a value is stored as it is. The table takes rows of 64 kB.
	maxPlain = 48 << 10
	// maxPacked is the size in bytes of the pieces of a compressed value, each of which has a row.
	maxPacked = 60 << 10
	// maxUnpacked bounds the memory that a stored value can take when it is read, in bytes.
	maxUnpacked = 16 << 20
	// pieceSeparator separates the key of a value and the number of a piece in a key.
	pieceSeparator = "/"
)

// pack compresses a value, and returns its pieces. Writes to a buffer never fail.
func pack(value []byte) [][]byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil // unreachable: the level is valid
	}
	_, _ = w.Write(value)
	_ = w.Close()
	return slices.Collect(slices.Chunk(out.Bytes(), maxPacked))
}

// readPacked decodes a compressed value, whose first row is given, into a message. Its error is a fault of the code Internal.
func readPacked(first table.Row, packed []byte, m proto.Message) error {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return fault.New(fault.Internal, first.Key.Key, "the packed row can't be read", "was it written by another version?").WithCause(err)
	}
	first.Value = value
	return Read(first, m)
}

// pieceKey returns the key of a piece of the value with the given key. The first piece has the key itself.
func pieceKey(key table.Key, n int) table.Key {
	if n > 0 {
		key.Key += pieceSeparator + strconv.Itoa(n)
	}
	return key
}

// isPiece returns whether a row holds a further piece of a value.
func isPiece(k table.Key) bool { return strings.Contains(k.Key, pieceSeparator) }

// rowOf returns the row with the given key.
func rowOf(list []table.Row, key table.Key) (table.Row, bool) {
	for _, r := range list {
		if r.Key == key {
			return r, true
		}
	}
	return table.Row{Key: key}, false
}
