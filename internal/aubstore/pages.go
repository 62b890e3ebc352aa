package aubstore

import (
	"encoding/binary"
	"fmt"
)

// Layout of the library's pages. Pages carry no checksum, and the library follows
// damaged ones into endless loops and faults, so they are verified before use.
const (
	pageFlagsOffset        = 8
	pageElementCountOffset = 10
	pageOverflowOffset     = 12
	elementBytes           = 16
	bucketHeaderBytes      = 16

	branchPageFlag     = 0x01
	leafPageFlag       = 0x02
	bucketLeafFlag     = 0x01
	firstDataPage      = 2
	firstWriteTxID     = 2
	metaRootOffset     = 16
	metaTxIDOffset     = 48
	uint32Bytes        = 4
	branchPageIDOffset = 8
)

// pageWalker visits every page that is reachable from a meta page, each once.
type pageWalker struct {
	data      []byte
	pageSize  uint64
	pageCount uint64
	visited   map[uint64]bool
}

// verifyPages checks that all references stay inside the file and its pages.
func verifyPages(data, meta []byte) error {
	w := &pageWalker{
		data:      data,
		pageSize:  uint64(binary.NativeEndian.Uint32(meta[metaPageSizeOffset:])),
		pageCount: binary.NativeEndian.Uint64(meta[metaPageCountOffset:]),
		visited:   make(map[uint64]bool),
	}
	root := binary.NativeEndian.Uint64(meta[metaRootOffset:])
	if err := w.visit(root); err != nil {
		return err
	}
	hasWrites := binary.NativeEndian.Uint64(meta[metaTxIDOffset:]) >= firstWriteTxID
	if hasWrites && binary.NativeEndian.Uint16(data[root*w.pageSize+pageElementCountOffset:]) == 0 {
		return &CorruptError{Detail: "a used database is empty"}
	}
	return nil
}

func (w *pageWalker) visit(id uint64) error {
	if id < firstDataPage || id >= w.pageCount {
		return &CorruptError{Detail: fmt.Sprintf("page %d is out of range", id)}
	}
	start := id * w.pageSize
	overflow := uint64(binary.NativeEndian.Uint32(w.data[start+pageOverflowOffset:]))
	if binary.NativeEndian.Uint64(w.data[start:]) != id || id+overflow >= w.pageCount {
		return &CorruptError{Detail: fmt.Sprintf("page %d has a wrong header", id)}
	}
	for i := id; i <= id+overflow; i++ {
		if w.visited[i] {
			return &CorruptError{Detail: fmt.Sprintf("page %d is used twice", i)}
		}
		w.visited[i] = true
	}
	return w.visitElements(w.data[start : start+(overflow+1)*w.pageSize])
}

// visitElements checks a page, or a small bucket's page inside of a value.
func (w *pageWalker) visitElements(page []byte) error {
	if len(page) < pageHeaderBytes {
		return &CorruptError{Detail: "a page is cut short"}
	}
	flags := binary.NativeEndian.Uint16(page[pageFlagsOffset:])
	count := int(binary.NativeEndian.Uint16(page[pageElementCountOffset:]))
	isBranch := flags == branchPageFlag
	if (!isBranch && flags != leafPageFlag) || (isBranch && count == 0) || pageHeaderBytes+count*elementBytes > len(page) {
		return &CorruptError{Detail: "a page has a wrong kind or size"}
	}
	for i := range count {
		element := page[pageHeaderBytes+i*elementBytes:]
		visit := w.visitLeaf
		if isBranch {
			visit = w.visitBranch
		}
		if err := visit(element); err != nil {
			return err
		}
	}
	return nil
}

// visitBranch checks an element of a branch; offsets count from the element.
func (w *pageWalker) visitBranch(element []byte) error {
	pos := uint64(binary.NativeEndian.Uint32(element))
	keySize := uint64(binary.NativeEndian.Uint32(element[uint32Bytes:]))
	if pos+keySize > uint64(len(element)) {
		return &CorruptError{Detail: "a key leaves its page"}
	}
	return w.visit(binary.NativeEndian.Uint64(element[branchPageIDOffset:]))
}

func (w *pageWalker) visitLeaf(element []byte) error {
	flags := binary.NativeEndian.Uint32(element)
	pos := uint64(binary.NativeEndian.Uint32(element[uint32Bytes:]))
	keySize := uint64(binary.NativeEndian.Uint32(element[2*uint32Bytes:]))
	valueSize := uint64(binary.NativeEndian.Uint32(element[3*uint32Bytes:]))
	end := pos + keySize + valueSize
	if end > uint64(len(element)) || keySize == 0 {
		return &CorruptError{Detail: "a record leaves its page"}
	}
	if flags&bucketLeafFlag == 0 {
		return nil
	}
	value := element[pos+keySize : end]
	if len(value) < bucketHeaderBytes {
		return &CorruptError{Detail: "a bucket is cut short"}
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return w.visit(root)
	}
	return w.visitElements(value[bucketHeaderBytes:])
}
