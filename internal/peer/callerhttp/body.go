package callerhttp

import "net/http"

// bodyKind is how the end of a body is found.
type bodyKind int

const (
	// noBody is followed by the next head.
	noBody bodyKind = iota
	sizedBody
	chunkedBody
	// endlessBody ends with its connection.
	endlessBody
)

// chunkPart is what the next byte of a chunked body belongs to.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkData
	chunkTrailer
)

// bodyScan finds the end of the body of a request as its bytes arrive, so that the next
// head is read from its first byte. It follows what the server made of the head. A chunked
// body that the server refuses may end elsewhere, since its connection is closed then.
type bodyScan struct {
	kind bodyKind
	// left is the number of bytes that are left of a sized body, or of a chunk with the
	// end of its line.
	left int64
	part chunkPart
	// digits is the number of digits of a chunk's size so far.
	digits  int
	trailer headScan
}

// bodyOf returns the scan of the body of a request that a server has decoded.
func bodyOf(rq *http.Request) bodyScan {
	switch {
	case rq.ContentLength > 0:
		return bodyScan{kind: sizedBody, left: rq.ContentLength}
	case len(rq.TransferEncoding) > 0:
		return bodyScan{kind: chunkedBody}
	case rq.ContentLength < 0:
		return bodyScan{kind: endlessBody}
	}
	return bodyScan{}
}

// feed scans the next bytes and returns how many of them belong to the body. After its
// last byte the kind is noBody.
func (bs *bodyScan) feed(text []byte) int {
	switch bs.kind {
	case noBody:
		return 0
	case sizedBody:
		count := min(bs.left, int64(len(text)))
		if bs.left -= count; bs.left == 0 {
			*bs = bodyScan{}
		}
		return int(count)
	case endlessBody:
		return len(text)
	}
	for at := 0; at < len(text); {
		if bs.part == chunkTrailer {
			end, ended := bs.trailer.feed(text[at:])
			if ended {
				*bs = bodyScan{}
			}
			return at + end
		}
		at += bs.feedChunk(text[at:])
	}
	return len(text)
}

// lineEnd is the length of the line end after the data of a chunk.
const lineEnd = 2

// feedChunk scans bytes of one part of a chunk and returns their number, at least 1.
func (bs *bodyScan) feedChunk(text []byte) int {
	if bs.part == chunkData {
		count := min(bs.left, int64(len(text)))
		if bs.left -= count; bs.left == 0 {
			bs.part, bs.digits = chunkSize, 0
		}
		return int(count)
	}
	digit, isDigit := hexDigit(text[0])
	switch {
	case text[0] == '\n' && bs.left == 0:
		bs.part, bs.trailer = chunkTrailer, headScan{}
	case text[0] == '\n':
		bs.part = chunkData
		bs.left += lineEnd
	case bs.part == chunkSize && isDigit && bs.digits < maxSizeDigits:
		bs.digits++
		bs.left = bs.left<<4 | digit
	default:
		bs.part = chunkExtension
	}
	return 1
}

// maxSizeDigits keeps the size of a chunk within its type. No caller may send as much.
const maxSizeDigits = 15

func hexDigit(char byte) (int64, bool) {
	switch {
	case char >= '0' && char <= '9':
		return int64(char - '0'), true
	case char >= 'a' && char <= 'f':
		return int64(char-'a') + 10, true
	case char >= 'A' && char <= 'F':
		return int64(char-'A') + 10, true
	}
	return 0, false
}
