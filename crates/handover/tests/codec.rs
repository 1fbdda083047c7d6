//! Frames that are cut, changed, too long or of another type, and descriptors that go along.

use asterlatch_handover::codec::{send, Decoded, FrameError, FrameReader, Framed, Received};
use asterlatch_handover::message::{HandoverMessage, MAX_LENGTH};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

#[test]
fn decode_frame_cut_or_changed_at_any_byte_yields_no_message() {
    let message = HandoverMessage::State((0..200).collect());
    let frame = message.encode().expect("fits");
    let decoded = Decoded {
        message,
        frame_length: frame.len(),
    };
    assert_eq!(HandoverMessage::decode(&frame), Ok(Some(decoded.clone())));
    for at in 0..frame.len() {
        assert_eq!(HandoverMessage::decode(&frame[..at]), Ok(None), "cut at {at}");
        let mut changed = frame.clone();
        changed[at] ^= 0x40;
        let read = HandoverMessage::decode(&changed);
        assert!(read != Ok(Some(decoded.clone())), "changed at {at}");
    }
}

#[test]
fn frame_longer_than_limit_is_refused_on_both_sides() {
    let mut long = ((MAX_LENGTH + 1) as u32).to_be_bytes().to_vec();
    long.extend([0; 40]);
    assert_eq!(HandoverMessage::decode(&long), Err(FrameError::TooLong));
    let state = HandoverMessage::State(vec![0; MAX_LENGTH + 1]);
    assert_eq!(state.encode(), Err(FrameError::TooLong));
}

fn read_message(reader: &mut FrameReader) -> (HandoverMessage, Vec<std::os::fd::OwnedFd>) {
    match reader.read() {
        Received::Message(message, descriptors) => (message, descriptors),
        other => panic!("{other:?}"),
    }
}

#[test]
fn read_several_messages_keeps_order_and_descriptors() {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("is bound");
    let state = HandoverMessage::State(vec![7; 3_000_000]);
    let sent_state = state.clone();
    let sent_listener = listener.try_clone().expect("a copy");
    let sender = std::thread::spawn(move || {
        send(&ours, &HandoverMessage::Hello { version: 1 }, &[]).expect("is sent");
        send(&ours, &sent_state, &[sent_listener.as_fd()]).expect("is sent");
        send(&ours, &HandoverMessage::Commit, &[]).expect("is sent");
    });
    let mut reader = FrameReader::new(theirs);
    assert_eq!(read_message(&mut reader).0, HandoverMessage::Hello { version: 1 });
    let (message, descriptors) = read_message(&mut reader);
    let count = descriptors.len();
    assert!(message == state && count == 1, "{count} descriptors");
    assert_eq!(read_message(&mut reader).0, HandoverMessage::Commit);
    sender.join().expect("ends");
    drop(listener);
    // The descriptor is the same socket, also after its first owner has closed it.
    let received = TcpListener::from(descriptors.into_iter().next().expect("one"));
    let mut client = TcpStream::connect(address).expect("listens");
    let (mut accepted, _) = received.accept().expect("accepts");
    client.write_all(b"x").expect("is written");
    let mut byte = [0];
    accepted.read_exact(&mut byte).expect("is read");
    assert_eq!(&byte, b"x");
    assert!(matches!(reader.read(), Received::Closed));
}
