// Package fuzzvalue fills values with what a fuzzer chooses, so that a target reaches each
// field of a message: random bytes are seldom valid in an encoding.
package fuzzvalue

import (
	"encoding/binary"
	"math"
	"reflect"
)

// maxElements limits the length of a slice.
const maxElements = 300

// Fill sets all exported fields below the pointer, those of slices too, from data. What is
// left when data ends stays zero.
func Fill(pointer any, data []byte) {
	f := filler(data)
	f.fill(reflect.ValueOf(pointer).Elem())
}

type filler []byte

// next returns the next byte; 0 at the end.
func (f *filler) next() byte {
	if len(*f) == 0 {
		return 0
	}
	b := (*f)[0]
	*f = (*f)[1:]
	return b
}

// bits returns small, extreme and arbitrary values.
func (f *filler) bits() uint64 {
	switch b := f.next(); b {
	case 255:
		return math.MaxUint64
	case 254:
		return math.MaxInt64
	case 253:
		return 1 << 63
	case 252, 251, 250:
		var word [8]byte
		for i := range word {
			word[i] = f.next()
		}
		return binary.LittleEndian.Uint64(word[:])
	default:
		return uint64(b)
	}
}

var floats = []float64{0, 1, -1, 0.5, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64, 1e9}

var texts = []string{"", "r1", "r2", "a", "b", "x", "127.0.0.1:1", "\x00\xff", ":"}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(f.next()&1 == 1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.bits()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(f.bits())
	case reflect.Float32, reflect.Float64:
		v.SetFloat(floats[int(f.next())%len(floats)])
	case reflect.String:
		v.SetString(texts[int(f.next())%len(texts)])
	case reflect.Slice:
		n := int(f.next())
		if n > 8 {
			n = min(n*n, maxElements)
		}
		v.Set(reflect.MakeSlice(v.Type(), min(n, len(*f)), min(n, len(*f))))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}
