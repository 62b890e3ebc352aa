package aubstore

import (
	"encoding/binary"
	"fmt"
)

// Layout of bbolt's pages, in bytes. Pages have no checksum, and following the
// references of a damaged one can send bbolt into endless loops and memory
// faults, so pages are verified before use.
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

// pageWalker verifies every page that is reachable from a meta page. A page that is
// referenced twice is damage.
type pageWalker struct {
	data      []byte
	pageSize  uint64
	pageCount uint64
	visited   map[uint64]bool
}

// verifyPages checks that all references between pages stay inside the file and
// all elements inside their pages.
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
		return &CorruptError{Detail: "the root page is empty although data was committed"}
	}
	return nil
}

// visit verifies a page with its overflow pages and all pages below it.
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

// visitElements verifies the elements of a page, which for a small bucket is stored
// inline in the value of its parent's element.
func (w *pageWalker) visitElements(page []byte) error {
	if len(page) < pageHeaderBytes {
		return &CorruptError{Detail: "a page is truncated"}
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

// visitBranch verifies an element of a branch page and the page it refers to. The
// key's position is relative to the start of the element.
func (w *pageWalker) visitBranch(element []byte) error {
	pos := uint64(binary.NativeEndian.Uint32(element))
	keySize := uint64(binary.NativeEndian.Uint32(element[uint32Bytes:]))
	if pos+keySize > uint64(len(element)) {
		return &CorruptError{Detail: "a key extends past the end of its page"}
	}
	return w.visit(binary.NativeEndian.Uint64(element[branchPageIDOffset:]))
}

// visitLeaf verifies an element of a leaf page and, if its value is a bucket, the
// bucket's pages.
func (w *pageWalker) visitLeaf(element []byte) error {
	flags := binary.NativeEndian.Uint32(element)
	pos := uint64(binary.NativeEndian.Uint32(element[uint32Bytes:]))
	keySize := uint64(binary.NativeEndian.Uint32(element[2*uint32Bytes:]))
	valueSize := uint64(binary.NativeEndian.Uint32(element[3*uint32Bytes:]))
	end := pos + keySize + valueSize
	if end > uint64(len(element)) || keySize == 0 {
		return &CorruptError{Detail: "a record has no key or extends past the end of its page"}
	}
	if flags&bucketLeafFlag == 0 {
		return nil
	}
	value := element[pos+keySize : end]
	if len(value) < bucketHeaderBytes {
		return &CorruptError{Detail: "a bucket header is truncated"}
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return w.visit(root)
	}
	return w.visitElements(value[bucketHeaderBytes:])
}
