// Package lease decides which node may use what part of each destination's limit, and until when. It does no
// I/O and reads no clock.
package lease
