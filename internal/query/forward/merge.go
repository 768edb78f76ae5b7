package forward

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of one record in a part's answer.
const RecordBytes = 16

// topRecords keeps the limit greatest records of many parts, compared bytewise.
type topRecords struct {
	limit int
	// kept is in descending order and has at most limit records.
	kept [][RecordBytes]byte
}

func newTopRecords(limit int) *topRecords {
	return &topRecords{limit: limit, kept: make([][RecordBytes]byte, 0, limit+1)}
}

// add merges the records of a part. Trailing bytes shorter than a record are
// ignored.
func (tp *topRecords) add(part []byte) {
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

// bytes returns the kept records, concatenated.
func (tp *topRecords) bytes() []byte {
	all := make([]byte, 0, len(tp.kept)*RecordBytes)
	for i := range tp.kept {
		all = append(all, tp.kept[i][:]...)
	}
	return all
}
