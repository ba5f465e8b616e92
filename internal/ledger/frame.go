// Package ledger is a write-ahead log: append-only segments, compacted into snapshots. It knows records and files, not the meaning of a
// record. Records are framed by length, sequence number and checksum, and authenticated if there is a key. Committed records survive a
// crash; a torn end is cut off, and where anything else is damaged or missing, the reader reports a gap.
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
	// version of the file format.
	version = 1
	// headerSize is the size of a file's header, frameSize that of the fields before a record.
	headerSize, frameSize = 48, 20
	// macSize is the size of the MAC after a record, if there is a key.
	macSize = 16
	// MaxRecordSize bounds the size of a record, in bytes.
	MaxRecordSize = 256 << 10
)

// The magic numbers of the kinds of files.
const (
	segmentMagic  = "CRLOGSEG"
	snapshotMagic = "CRLOGSNP"
)

// header begins a file.
type header struct {
	magic string
	owner uint64 // hash of the owner's name
	mac   bool
	first uint64 // of a segment: its first sequence number; of a snapshot: the last one that it replaces
	epoch uint64 // part of each frame's checksum: frames of other epochs do not match
}

func ownerHash(name string) uint64 { return xxhash.Sum64String(name) }

// append encodes the header: magic, version, flags, owner, first, epoch, checksum.
func (h header) append(p []byte) []byte {
	at := len(p)
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
	return binary.LittleEndian.AppendUint64(p, xxhash.Sum64(p[at:]))
}

// decodeHeader reads the header of a file.
func decodeHeader(text []byte) (header, error) {
	if len(text) < headerSize {
		return header{}, fmt.Errorf("%w: no whole head", ErrDamaged)
	}
	body := text[:headerSize-8]
	if binary.LittleEndian.Uint64(text[headerSize-8:]) != xxhash.Sum64(body) {
		return header{}, fmt.Errorf("%w: the head's checksum is wrong", ErrDamaged)
	}
	h := header{magic: string(body[:8]), owner: binary.LittleEndian.Uint64(body[16:]), mac: body[12]&1 != 0, first: binary.LittleEndian.Uint64(body[24:]),
		epoch: binary.LittleEndian.Uint64(body[32:])}
	if v := binary.LittleEndian.Uint32(body[8:]); v != version {
		return h, fmt.Errorf("%w: form %d, %d is known here", ErrFormat, v, version)
	}
	return h, nil
}

// framer encodes and decodes the frames of one file.
type framer struct {
	key   []byte
	epoch uint64 // of the file's header
}

// append encodes the frame of a record.
func (f framer) append(p []byte, seq uint64, record []byte) []byte {
	at := len(p)
	p = binary.LittleEndian.AppendUint32(p, uint32(len(record)))
	p = binary.LittleEndian.AppendUint64(p, seq)
	p = binary.LittleEndian.AppendUint64(p, f.checksum(p[at:at+12], record))
	p = append(p, record...)
	if f.key != nil {
		p = append(p, f.mac(p[at:])...)
	}
	return p
}

func (f framer) checksum(lead, record []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var of [8]byte
	binary.LittleEndian.PutUint64(of[:], f.epoch)
	_, _ = d.Write(of[:]) // it never fails
	_, _ = d.Write(lead)
	_, _ = d.Write(record)
	return d.Sum64()
}

func (f framer) mac(frame []byte) []byte {
	h := hmac.New(sha256.New, f.key)
	var of [8]byte
	binary.LittleEndian.PutUint64(of[:], f.epoch)
	h.Write(of[:])
	h.Write(frame)
	return h.Sum(nil)[:macSize]
}

// next decodes the frame at the beginning of text. Its size is 0 if there is no complete and valid one.
func (f framer) next(text []byte) (seq uint64, record []byte, size int) {
	if len(text) < frameSize {
		return 0, nil, 0
	}
	length := binary.LittleEndian.Uint32(text)
	end := frameSize + int(length)
	if length > MaxRecordSize || end > len(text) {
		return 0, nil, 0
	}
	record = text[frameSize:end]
	if binary.LittleEndian.Uint64(text[12:]) != f.checksum(text[:12], record) {
		return 0, nil, 0
	}
	if f.key != nil {
		if end+macSize > len(text) || !hmac.Equal(text[end:end+macSize], f.mac(text[:end])) {
			return 0, nil, 0
		}
		end += macSize
	}
	return binary.LittleEndian.Uint64(text[4:]), record, end
}

// scanResult is the content of a file.
type scanResult struct {
	records  [][]byte
	seqs     []uint64
	gaps     map[int]bool // indexes in records before which something cannot be read
	torn     bool         // the end cannot be read, and no valid frame follows
	complete bool         // of a snapshot: it ends with its end mark
}

// scan decodes the frames after a header.
func (f framer) scan(text []byte) scanResult {
	s := scanResult{gaps: map[int]bool{}}
	for len(text) > 0 {
		seq, record, size := f.next(text)
		if size == 0 {
			skip := f.resync(text)
			if skip < 0 {
				s.torn = true
				break
			}
			s.gaps[len(s.records)] = true
			text = text[skip:]
			continue
		}
		text = text[size:]
		if len(record) == 0 {
			s.complete = len(text) == 0
			break
		}
		s.records = append(s.records, bytes.Clone(record))
		s.seqs = append(s.seqs, seq)
	}
	return s
}

// resync returns the offset of the next valid frame; -1 if there is none.
func (f framer) resync(text []byte) int {
	for at := 1; at+frameSize <= len(text); at++ {
		if binary.LittleEndian.Uint32(text[at:]) > MaxRecordSize {
			continue
		}
		if _, _, size := f.next(text[at:]); size > 0 {
			return at
		}
	}
	return -1
}
