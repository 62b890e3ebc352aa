// Package aubagent implements the agent, the process that runs beside each
// backend server. The agent runs requests on the backend server, is the only
// sender of its load and unload orders, accounts for its accelerator memory and
// reports its load.
package aubagent
