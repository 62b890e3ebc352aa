package aubheader

// MaxResponseBytes limits the header of a backend server's response, with all
// informational responses before it. A backend server in trouble may send bytes without
// end.
const MaxResponseBytes = 64 << 10
