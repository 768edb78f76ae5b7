package forward

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of one record of a part.
const RecordBytes = 16

// top keeps the greatest records of many parts, compared byte by byte.
type top struct {
	limit int
	// kept is in falling order and has at most limit records.
	kept [][RecordBytes]byte
}

func newTop(limit int) *top {
	return &top{limit: limit, kept: make([][RecordBytes]byte, 0, limit+1)}
}

// add takes in the records of a part; a remainder that is shorter than a record
// is none.
func (tp *top) add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		record := [RecordBytes]byte(part)
		full := len(tp.kept) == tp.limit
		if tp.limit == 0 || full && bytes.Compare(record[:], tp.kept[tp.limit-1][:]) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(tp.kept, record, func(have, want [RecordBytes]byte) int {
			return bytes.Compare(want[:], have[:])
		})
		tp.kept = slices.Insert(tp.kept, at, record)
		tp.kept = tp.kept[:min(len(tp.kept), tp.limit)]
	}
}

// bytes returns the kept records one after the other.
func (tp *top) bytes() []byte {
	all := make([]byte, 0, len(tp.kept)*RecordBytes)
	for i := range tp.kept {
		all = append(all, tp.kept[i][:]...)
	}
	return all
}
