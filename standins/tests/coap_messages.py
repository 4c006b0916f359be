"""A minimal CoAP codec (RFC 7252) for the tests of the stand-ins."""

import struct

CON, NON, ACK, RST = range(4)
GET, POST, DELETE = 1, 2, 4
OBSERVE, PATH, QUERY, BLOCK2, ECHO = 6, 11, 15, 23, 252


def parse(data):
    """Returns (type, code, message id, token, [(option number, value)])."""
    return _parse_head(data)[0]


def payload_of(data):
    """Returns the bytes after the payload marker, whose value may also occur in the message id."""
    return data[_parse_head(data)[1] + 1:]


def _parse_head(data):
    kind, token_length = (data[0] >> 4) & 3, data[0] & 15
    position, number, options = 4 + token_length, 0, []
    while position < len(data) and data[position] != 0xFF:
        delta, length = data[position] >> 4, data[position] & 15
        position += 1
        fields = []
        for field in (delta, length):
            if field == 13:
                field, position = data[position] + 13, position + 1
            elif field == 14:
                field = struct.unpack_from("!H", data, position)[0] + 269
                position += 2
            fields.append(field)
        number += fields[0]
        options.append((number, data[position:position + fields[1]]))
        position += fields[1]
    message_id = struct.unpack_from("!H", data, 2)[0]
    return (kind, data[1], message_id, data[4:4 + token_length], options), position


def encode(kind, code, message_id, token, options, payload=b""):
    """Encodes a message; the options must be in ascending order."""
    data = bytes([0x40 | kind << 4 | len(token), code]) + struct.pack("!H", message_id) + token
    last = 0
    for number, value in options:
        extended, nibbles = b"", []
        for field in (number - last, len(value)):
            if field < 13:
                nibbles.append(field)
            elif field < 269:
                nibbles.append(13)
                extended += bytes([field - 13])
            else:
                nibbles.append(14)
                extended += struct.pack("!H", field - 269)
        data += bytes([nibbles[0] << 4 | nibbles[1]]) + extended + value
        last = number
    return data + (b"\xff" + payload if payload else b"")
