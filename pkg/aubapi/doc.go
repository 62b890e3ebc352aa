// Package aubapi defines the public types of auburndale: the objects that
// change tickets carry, the tickets themselves and the problem documents that
// every refusal is answered with.
//
// All values are plain data. Names in JSON and YAML are snake case.
package aubapi
