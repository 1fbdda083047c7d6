//! Frames that are truncated, corrupted or too long, and attached descriptors.

use asterlatch_handover::codec::{send, Decoded, FrameError, FrameReader, Framed, Received};
use asterlatch_handover::message::{HandoverMessage, MAX_MESSAGE_BYTES};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

#[test]
fn decode_truncated_or_corrupted_frame_yields_no_message() {
    let message = HandoverMessage::State((0..200).collect());
    let frame = message.encode().expect("encode the message");
    let decoded = Decoded {
        message,
        frame_length: frame.len(),
    };
    assert_eq!(HandoverMessage::decode(&frame), Ok(Some(decoded.clone())));
    for at in 0..frame.len() {
        assert_eq!(
            HandoverMessage::decode(&frame[..at]),
            Ok(None),
            "truncated at {at}"
        );
        let mut corrupted = frame.clone();
        corrupted[at] ^= 0x40;
        let result = HandoverMessage::decode(&corrupted);
        assert!(result != Ok(Some(decoded.clone())), "corrupted at {at}");
    }
}

#[test]
fn encode_and_decode_frame_above_limit_fail() {
    let mut frame_start = ((MAX_MESSAGE_BYTES + 1) as u32).to_be_bytes().to_vec();
    frame_start.extend([0; 40]);
    assert_eq!(HandoverMessage::decode(&frame_start), Err(FrameError::TooLong));
    let state = HandoverMessage::State(vec![0; MAX_MESSAGE_BYTES + 1]);
    assert_eq!(state.encode(), Err(FrameError::TooLong));
}

fn read_message(reader: &mut FrameReader) -> (HandoverMessage, Vec<std::os::fd::OwnedFd>) {
    match reader.read() {
        Received::Message(message, descriptors) => (message, descriptors),
        other => panic!("expected a message, received {other:?}"),
    }
}

#[test]
fn read_several_messages_keeps_order_and_descriptors() {
    let (sending_socket, receiving_socket) = UnixStream::pair().expect("create a socket pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("the listener has an address");
    let state = HandoverMessage::State(vec![7; 3_000_000]);
    let sent_state = state.clone();
    let sent_listener = listener.try_clone().expect("duplicate the listener");
    let sender = std::thread::spawn(move || {
        send(&sending_socket, &HandoverMessage::Hello { version: 1 }, &[]).expect("send hello");
        send(&sending_socket, &sent_state, &[sent_listener.as_fd()]).expect("send the state");
        send(&sending_socket, &HandoverMessage::Commit, &[]).expect("send the commit");
    });
    let mut reader = FrameReader::new(receiving_socket);
    assert_eq!(read_message(&mut reader).0, HandoverMessage::Hello { version: 1 });
    let (message, descriptors) = read_message(&mut reader);
    let count = descriptors.len();
    assert!(message == state && count == 1, "{count} descriptors");
    assert_eq!(read_message(&mut reader).0, HandoverMessage::Commit);
    sender.join().expect("the sender does not panic");
    drop(listener);
    // The received descriptor still listens after its sender has closed the original.
    let received = TcpListener::from(descriptors.into_iter().next().expect("a descriptor was received"));
    let mut client = TcpStream::connect(address).expect("connect to the listener");
    let (mut accepted, _) = received.accept().expect("accept the connection");
    client.write_all(b"x").expect("write a byte");
    let mut byte = [0];
    accepted.read_exact(&mut byte).expect("read a byte");
    assert_eq!(&byte, b"x");
    assert!(matches!(reader.read(), Received::Closed));
}
