// Package frame lays records into a file one after the other, so that a reader finds a tail that a crash
// has cut off, and bytes that have changed: each record has its length and its CRC-32C before it, both in
// four bytes, little-endian.
package frame

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// HeadSize is how many bytes a frame has before its payload.
const HeadSize = 8

// lengthSize is how many of them are the length.
const lengthSize = 4

// The errors of Next.
var (
	ErrTorn     = errors.New("the data ends inside a frame")
	ErrChecksum = errors.New("the checksum of a frame does not fit its payload")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Append appends the frame of a payload.
func Append(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, table))
	return append(b, payload...)
}

// Next reads the first frame of data. The payload is a part of data, not a copy.
func Next(data []byte) (payload, rest []byte, err error) {
	if len(data) < HeadSize {
		return nil, nil, ErrTorn
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > int64(len(data)-HeadSize) {
		return nil, nil, ErrTorn
	}
	payload, rest = data[HeadSize:HeadSize+size], data[HeadSize+size:]
	if crc32.Checksum(payload, table) != binary.LittleEndian.Uint32(data[lengthSize:]) {
		return nil, nil, ErrChecksum
	}
	return payload, rest, nil
}
