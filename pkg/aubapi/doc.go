// Package aubapi defines the public types of auburndale: the configuration objects,
// the tickets that change them and the problem documents of refused requests.
//
// All types are plain data. Their names in JSON and YAML are in snake case.
package aubapi
