// Package frame encodes records as consecutive frames of a file. A reader detects a tail that a crash truncated, and
// corrupted bytes. A frame consists of a header and the payload of one record. The header contains the payload's length
// and its CRC-32C, each in four bytes, little-endian.
//
// The functions keep no state and are safe for concurrent use. Start reading at [Append].
package frame

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// HeaderSize is the length of a frame's header, in bytes.
const HeaderSize = 8

// lengthSize is the size of the header's length field, in bytes. The checksum follows it.
const lengthSize = 4

var (
	// ErrTorn is returned by Next if the data ends inside a frame.
	ErrTorn = errors.New("the data ends inside a frame")
	// ErrChecksum is returned by Next if the payload or its checksum was corrupted.
	ErrChecksum = errors.New("the checksum of a frame does not fit its payload")
)

// castagnoli is the CRC-32C table.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a frame that contains payload to b and returns the extended slice.
func Append(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// Next returns the payload of the first frame of data, and the data after that frame. The payload is a subslice of data,
// not a copy. Next returns ErrTorn if the frame is incomplete or data is empty, and ErrChecksum if the frame was corrupted.
func Next(data []byte) (payload, rest []byte, err error) {
	if len(data) < HeaderSize {
		return nil, nil, ErrTorn
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > int64(len(data)-HeaderSize) {
		return nil, nil, ErrTorn
	}
	payload, rest = data[HeaderSize:HeaderSize+size], data[HeaderSize+size:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[lengthSize:]) {
		return nil, nil, ErrChecksum
	}
	return payload, rest, nil
}
