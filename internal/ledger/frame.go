// Package ledger is a write-ahead log: append-only segments that are compacted into snapshots. Records are opaque to it. Each has a frame with
// its length, sequence number and checksum, and a MAC if there is a key. Committed records survive a crash of the process. The reader drops a
// torn end, and reports a gap wherever else records may be damaged or missing.
package ledger

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// version is the version of the file format.
	version = 1
	// headerSize is the size of a file header and frameSize that of the fields before a record, in bytes.
	headerSize, frameSize = 48, 20
	// macSize is the size of the MAC after a record in bytes, if there is a key.
	macSize = 16
	// MaxRecordSize is the largest size of a record, in bytes.
	MaxRecordSize = 256 << 10
)

// The magic numbers of segments and snapshots.
const (
	segmentMagic  = "CRLOGSEG"
	snapshotMagic = "CRLOGSNP"
)

// header is the header of a file.
type header struct {
	magic string
	owner uint64 // hash of the owner's name
	mac   bool
	first uint64 // of a segment: its first sequence number; of a snapshot: the last sequence number that it replaces
	epoch uint64 // part of the checksum and MAC of each frame, so that frames of other epochs are not valid here
}

func ownerHash(name string) uint64 { return xxhash.Sum64String(name) }

// append encodes the header as magic, version, flags, owner, first, epoch and checksum.
func (h header) append(p []byte) []byte {
	start := len(p)
	p = append(p, h.magic...)
	p = binary.LittleEndian.AppendUint32(p, version)
	flags := uint32(0)
	if h.mac {
		flags = 1
	}
	p = binary.LittleEndian.AppendUint32(p, flags)
	p = binary.LittleEndian.AppendUint64(p, h.owner)
	p = binary.LittleEndian.AppendUint64(p, h.first)
	p = binary.LittleEndian.AppendUint64(p, h.epoch)
	return binary.LittleEndian.AppendUint64(p, xxhash.Sum64(p[start:]))
}

// decodeHeader decodes the header of a file.
func decodeHeader(data []byte) (header, error) {
	if len(data) < headerSize {
		return header{}, fmt.Errorf("%w: incomplete header", ErrDamaged)
	}
	body := data[:headerSize-8]
	if binary.LittleEndian.Uint64(data[headerSize-8:]) != xxhash.Sum64(body) {
		return header{}, fmt.Errorf("%w: wrong checksum of the header", ErrDamaged)
	}
	h := header{magic: string(body[:8]), owner: binary.LittleEndian.Uint64(body[16:]), mac: body[12]&1 != 0, first: binary.LittleEndian.Uint64(body[24:]),
		epoch: binary.LittleEndian.Uint64(body[32:])}
	if v := binary.LittleEndian.Uint32(body[8:]); v != version {
		return h, fmt.Errorf("%w: version %d, but this program reads version %d", ErrFormat, v, version)
	}
	return h, nil
}

// framer encodes and decodes the frames of one file.
type framer struct {
	key   []byte
	epoch uint64 // epoch in the header of the file
}

// append encodes the frame of a record.
func (f framer) append(p []byte, seq uint64, record []byte) []byte {
	start := len(p)
	p = binary.LittleEndian.AppendUint32(p, uint32(len(record)))
	p = binary.LittleEndian.AppendUint64(p, seq)
	p = binary.LittleEndian.AppendUint64(p, f.checksum(p[start:start+12], record))
	p = append(p, record...)
	if f.key != nil {
		p = append(p, f.mac(p[start:])...)
	}
	return p
}

func (f framer) checksum(fields, record []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], f.epoch)
	_, _ = d.Write(epoch[:]) // never returns an error
	_, _ = d.Write(fields)
	_, _ = d.Write(record)
	return d.Sum64()
}

func (f framer) mac(frame []byte) []byte {
	h := hmac.New(sha256.New, f.key)
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], f.epoch)
	h.Write(epoch[:])
	h.Write(frame)
	return h.Sum(nil)[:macSize]
}

// next decodes the frame at the beginning of data. It returns a size of 0 if there is no complete and valid frame.
func (f framer) next(data []byte) (seq uint64, record []byte, size int) {
	if len(data) < frameSize {
		return 0, nil, 0
	}
	length := binary.LittleEndian.Uint32(data)
	end := frameSize + int(length)
	if length > MaxRecordSize || end > len(data) {
		return 0, nil, 0
	}
	record = data[frameSize:end]
	if binary.LittleEndian.Uint64(data[12:]) != f.checksum(data[:12], record) {
		return 0, nil, 0
	}
	if f.key != nil {
		if end+macSize > len(data) || !hmac.Equal(data[end:end+macSize], f.mac(data[:end])) {
			return 0, nil, 0
		}
		end += macSize
	}
	return binary.LittleEndian.Uint64(data[4:]), record, end
}

// scanResult is the content of a file after its header.
type scanResult struct {
	records  [][]byte
	seqs     []uint64
	gaps     map[int]bool // indexes in records before which something is unreadable
	torn     bool         // the end is unreadable, and no valid frame follows
	complete bool         // of a snapshot: the file ends with the end mark
}

// scan decodes the frames after a header.
func (f framer) scan(data []byte) scanResult {
	s := scanResult{gaps: map[int]bool{}}
	for len(data) > 0 {
		seq, record, size := f.next(data)
		if size == 0 {
			skip := f.resync(data)
			if skip < 0 {
				s.torn = true
				break
			}
			s.gaps[len(s.records)] = true
			data = data[skip:]
			continue
		}
		data = data[size:]
		if len(record) == 0 {
			s.complete = len(data) == 0
			break
		}
		s.records = append(s.records, bytes.Clone(record))
		s.seqs = append(s.seqs, seq)
	}
	return s
}

// resync returns the offset of the next valid frame, or -1 if there is none.
func (f framer) resync(data []byte) int {
	for offset := 1; offset+frameSize <= len(data); offset++ {
		if binary.LittleEndian.Uint32(data[offset:]) > MaxRecordSize {
			continue
		}
		if _, _, size := f.next(data[offset:]); size > 0 {
			return offset
		}
	}
	return -1
}
